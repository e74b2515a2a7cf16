import "disposablestack/auto";
import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { findFreePorts } from "../../../scripts/processGroup.ts";
import { DatabaseRole } from "../../../src/model/database.ts";
import { AnswerFaults, noAnswerFaults } from "../answerFaults.ts";
import { type ClientAnswer, ClientSession } from "../clientSession.ts";
import { Database } from "../database.ts";
import { DatabaseGroup } from "../databaseGroup.ts";
import { PromotionServer } from "../promotionServer.ts";
import { RuleChecker } from "../ruleChecker.ts";

/** Longer than a commit takes to a replica and back. */
const settleMs = 100;

describe("databases of the users' platform", () => {
    let group: DatabaseGroup;
    let checker: RuleChecker;
    let faults: AnswerFaults;
    let primary: Database;
    let replica: Database;
    let sessions: ClientSession[];
    let violations: string[];

    beforeEach(async () => {
        group = new DatabaseGroup("ledger");
        checker = new RuleChecker();
        faults = new AnswerFaults(1);
        sessions = [];
        violations = [];
        const [first, second] = await findFreePorts(2);
        primary = await start("i-1", DatabaseRole.Primary, first!);
        replica = await start("i-2", DatabaseRole.Replica, second!);
    });

    afterEach(async () => {
        sessions.forEach(session => session[Symbol.dispose]());
        await Promise.all(group.members.map(member => member.stop()));
    });

    async function start(id: string, role: DatabaseRole, port: number): Promise<Database> {
        const place = { host: "127.0.0.1", port, dataCentre: "zone-a", controls: () => [] };
        const database = new Database({ ...place, id, role, group, faults, checker });
        await database.start();
        return database;
    }

    async function connect(database: Database): Promise<ClientSession> {
        return openAs(database, "tenant");
    }

    async function openAs({ options, id }: Database, caller: string): Promise<ClientSession> {
        const address = { host: options.host, port: options.port, database: "ledger", key: `${caller} ${id}` };
        const session = await ClientSession.open(address, { onViolation: text => violations.push(text) });
        sessions.push(session!);
        return session!;
    }

    async function ask(database: Database, ...texts: readonly string[]): Promise<readonly ClientAnswer[]> {
        const session = await connect(database);
        const answers: ClientAnswer[] = [];
        for (const text of texts) {
            answers.push(await session.query("1", text));
        }
        return answers;
    }

    it("answer a write once a replica has received it", async () => {
        const [written] = await ask(primary, "WRITE a b");
        assert.match(written!.signature!, /^i-1\./);
        assert.equal(replica.log.receivedPosition, "1.1");
    });

    it("keep the writes of a transaction apart until it commits", async () => {
        await ask(primary, "BEGIN", "WRITE a b", "ROLLBACK");
        assert.equal(primary.log.received, 0);
        const answers = await ask(primary, "BEGIN", "WRITE a b", "WRITE a c", "COMMIT");
        assert.deepEqual(answers.map(({ state }) => state), ["T", "T", "T", "I"]);
        assert.equal(primary.log.received, 1);
    });

    it("refuse writes and positions that a replica lacks", async () => {
        const answers = await ask(replica, "WRITE a b", "AFTER 1.1 READ a", "BEGIN");
        assert.deepEqual(answers.map(({ error }) => error), ["READONLY", "LAGGING", "READONLY"]);
    });

    it("refuse what is no statement, and tell the checker", async () => {
        const answers = await ask(primary, "COMMIT x", "PREPARE s q26 READ up", "STATUS");
        assert.deepEqual(answers.map(({ error }) => error), ["MALFORMED", "MALFORMED", undefined]);
        assert.equal(checker.finish(primary.log).broken.PROTOCOL, 2);
    });

    it("let a transaction that failed only end", async () => {
        const answers = await ask(primary, "BEGIN READ", "EXECUTE s1 a", "READ a", "ROLLBACK");
        assert.deepEqual(answers.map(({ error }) => error), [undefined, "UNKNOWN", "MALFORMED", undefined]);
        assert.deepEqual(answers.map(({ state }) => state), ["T", "E", "E", "I"]);
    });

    it("confirm no commit while the replica is paused", async () => {
        await ask(replica, "PAUSE 2");
        const written = ask(primary, "WRITE a b");
        await delay(settleMs);
        assert.equal(replica.log.received, 0);
        await ask(replica, "RESUME");
        assert.equal((await written)[0]!.error, undefined);
    });

    it("answer nothing while they are cut off, and then what waited", async () => {
        const session = await connect(primary);
        primary.cutOff({ statements: true, answers: true }, false);
        const reconnected = delay(3 * settleMs).then(() => primary.reconnect());
        const startedAtMs = performance.now();
        assert.equal((await session.query("1", "READ a")).error, undefined);
        assert.ok(performance.now() - startedAtMs > 2 * settleMs);
        await reconnected;
    });

    it("answer control members nothing while they are cut off from these, and receive and serve meanwhile", async () => {
        primary.cutOff({ statements: false, answers: false }, false, { control: true });
        assert.equal((await ask(primary, "WRITE 1 x"))[0]!.error, undefined);
        const opening = openAs(primary, "-");
        assert.equal(await Promise.race([opening, delay(settleMs)]), undefined);
        primary.reconnect();
        assert.ok(await opening);
    });

    it("confirm no commit if the primary is cut off from the only replica", async () => {
        primary.cutOff({ statements: false, answers: false }, false, { databases: [replica] });
        const written = ask(primary, "WRITE 1 x");
        assert.equal(await Promise.race([written, delay(settleMs)]), undefined);
        primary.reconnect();
        assert.equal((await written)[0]!.error, undefined);
    });

    it("receive late", async () => {
        // What the replica asked for at its start arrives without the delay, with all that is there by then.
        await delay(settleMs);
        replica.lateMs = 3 * settleMs;
        const written = ask(primary, "WRITE 1 x");
        assert.equal(await Promise.race([written, delay(settleMs)]), undefined);
        assert.equal((await written)[0]!.error, undefined);
    });

    it("send an answer twice", async () => {
        faults.rates = { ...noAnswerFaults, repeatedShare: 1, maximumRepeatDelayMs: 1 };
        const session = await connect(primary);
        await session.closed();
        assert.equal(session.unaskedCount, 1);
        assert.deepEqual(violations, [`READY "I 1.0" while nothing was asked`]);
    });

    it("lead with what they have received after a promotion, and drop the rest elsewhere", async () => {
        await ask(primary, "WRITE a b");
        await ask(replica, "PAUSE 2");
        void ask(primary, "WRITE a c");
        await delay(settleMs);
        assert.equal(primary.log.received, 2);
        group.promote("i-2");
        assert.equal(replica.role, DatabaseRole.Primary);
        assert.equal(primary.log.received, 1);
        assert.equal(group.newestTerm, 2);
    });

    it("come back with their log or with nothing", async () => {
        await ask(primary, "WRITE a b");
        for (const [keepsLog, received] of [[true, 1], [false, 0]] as const) {
            await replica.stop();
            replica = new Database(replica.options, replica, keepsLog);
            assert.equal(replica.log.received, received);
        }
        assert.equal(group.members.length, 2);
    });

    describe("and the platform that promotes them", () => {
        let platform: PromotionServer;
        let address: string;

        beforeEach(async () => {
            platform = new PromotionServer(group, checker);
            const [port] = await findFreePorts(1);
            await platform.listen("127.0.0.1", port!);
            address = `http://127.0.0.1:${port}/promotion`;
        });

        afterEach(() => platform[Symbol.asyncDispose]());

        async function order(id: string, fence: number, holder = "core-1"): Promise<number> {
            const headers = { "Jasmineline-Duty-Holder": holder, "Jasmineline-Fence-Token": String(fence) };
            const response = await fetch(address, {
                method: "POST",
                headers,
                body: JSON.stringify({ service: "ledger", id }),
            });
            return response.status;
        }

        it("refuses a lower token and a database that does not run", async () => {
            assert.equal(await order("i-2", 5), 200);
            assert.equal(await order("i-1", 4), 409);
            assert.equal(await order("i-9", 6), 409);
        });

        it("carries out a late order without an answer, unless a higher token was seen", async () => {
            platform.nextDelayMs = () => settleMs;
            const unanswered = order("i-2", 5).catch(() => 0);
            await delay(2 * settleMs);
            await platform.settle();
            assert.equal(platform.promotionCount, 1);
            void order("i-1", 6).catch(() => 0);
            await delay(settleMs / 2);
            platform.nextDelayMs = () => undefined;
            assert.equal(await order("i-2", 7), 200);
            await platform.settle();
            assert.equal(platform.promotionCount, 1);
            assert.equal(replica.role, DatabaseRole.Primary);
            assert.equal(await Promise.race([unanswered, delay(0, "no answer")]), "no answer");
        });
    });
});
