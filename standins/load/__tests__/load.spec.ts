import assert from "node:assert/strict";
import { test } from "node:test";
import { DatabaseNode } from "../../database/databaseNode.ts";
import { Faults } from "../../database/faults.ts";
import { VolatileRoleStorage } from "../../database/fileStorage.ts";
import { GroupLog, VolatileLogStorage } from "../../database/groupLog.ts";
import { Semaphore } from "../../database/locks.ts";
import { Session, type SessionOptions } from "../../database/session.ts";
import { SqlStore, type StatementResult } from "../../database/sqlStore.ts";
import { type CallOutcome, doneOutcome, errorOutcome, OutcomeKind, toErrorOutcome } from "../callOutcome.ts";
import type { CallerConnection, Connector } from "../connector.ts";
import { FailoverGapMeter } from "../failoverGapMeter.ts";
import { checkFinalContent } from "../finalContentCheck.ts";
import { runLoad } from "../loadRun.ts";
import type { Violations } from "../loadStatistics.ts";
import { OperationKind, type Plan, type PlanStep, SeededPlan } from "../plan.ts";
import { RateModel } from "../rateModel.ts";
import { schemaStatements } from "../schema.ts";
import { summarize, violationsOf } from "../summary.ts";

type Run = (sql: string) => Promise<CallOutcome>;
/** Stands between callers and a correct database, and may answer wrongly. */
type Defect = (sql: string, run: Run) => Promise<CallOutcome>;

const noDefect: Defect = (sql, run) => run(sql);

async function openDatabase(): Promise<SessionOptions> {
    const node = new DatabaseNode({
        store: await SqlStore.open(),
        log: new GroupLog(new VolatileLogStorage()),
        roleStorage: new VolatileRoleStorage(),
        initialState: { role: "primary", term: 1, primaryAddress: "" },
        lockTimeoutMs: 1_000,
    });
    const faults = new Faults({ lagMs: 0, serviceMs: 0 });
    const options = { node, faults, slots: new Semaphore(3), counters: { reads: 0, writes: 0 } };
    for (const statement of schemaStatements()) {
        await new Session(options).run(statement);
    }
    return options;
}

class FakeConnector implements Connector {
    private readonly options: SessionOptions;
    private readonly defect: Defect;

    constructor(options: SessionOptions, defect: Defect) {
        this.options = options;
        this.defect = defect;
    }

    async connect(): Promise<CallerConnection> {
        const session = new Session(this.options);
        const run: Run = sql => session.run(sql).then(toOutcome, toErrorOutcome);
        return { query: sql => this.defect(sql, run), close: () => session.close() };
    }
}

function toOutcome({ columns, rows, affectedRows }: StatementResult): CallOutcome {
    const objects = rows.map(row => Object.fromEntries(columns.map((name, index) => [name, row[index]])));
    return doneOutcome(objects, affectedRows);
}

class ListPlan implements Plan {
    private readonly steps: PlanStep[];

    constructor(operations: readonly OperationKind[]) {
        this.steps = operations.map(operation => ({
            caller: 0,
            pauseMs: 0,
            operation,
            target: 0,
            variant: 0,
            resend: true,
        }));
    }

    nextStep(): PlanStep | undefined {
        return this.steps.shift();
    }
}

async function runWith(operations: readonly OperationKind[], defect: Defect, callerCount = 1): Promise<Violations> {
    const database = await openDatabase();
    const state = await runLoad({
        connector: new FakeConnector(database, defect),
        entryCount: 1,
        services: ["orders"],
        identities: [{ keyId: "k", secret: "s", workspace: "w" }],
        rates: [],
        callerCount,
        plan: operations.length > 0 ? new ListPlan(operations) : new SeededPlan(7, 1),
        durationMs: 60_000,
        statementLimit: 600,
        nowMs: () => performance.now(),
    });
    await checkFinalContent("orders", { query: async sql => database.node.store.readCommitted(sql).rows }, state);
    return state.statistics.violations;
}

const none: Violations = {
    lost: 0,
    doubled: 0,
    notRunButRan: 0,
    staleReads: 0,
    mixedTransactions: 0,
    wrongAnswers: 0,
};
const { PlaceOrder, RedeemToken, ReadYourWrites, WritePair, ReadPair } = OperationKind;

test("a correct database shows no violation under every operation at once", async () => {
    assert.deepEqual(await runWith([], noDefect, 6), none);
});

test("an acknowledged order that was never stored counts as lost", async () => {
    const drop: Defect = (sql, run) =>
        sql.startsWith("INSERT INTO orders") ? Promise.resolve(doneOutcome([], 1)) : run(sql);
    assert.deepEqual(await runWith([PlaceOrder, PlaceOrder], drop), { ...none, lost: 2 });
});

test("a register whose acknowledged write vanished counts as lost and as a stale read", async () => {
    const drop: Defect = (sql, run) =>
        sql.startsWith("UPDATE registers") ? Promise.resolve(doneOutcome([], 1)) : run(sql);
    assert.deepEqual(await runWith([ReadYourWrites], drop), { ...none, lost: 1, staleReads: 1 });
});

test("an order that a resend applied a second time counts as doubled", async () => {
    let answered = false;
    const forget: Defect = async (sql, run) => {
        const outcome = await run(sql);
        const first = sql.startsWith("INSERT INTO orders") && !answered;
        answered ||= first;
        return first ? errorOutcome(OutcomeKind.Unknown, "connection_lost") : outcome;
    };
    assert.deepEqual(await runWith([PlaceOrder], forget), { ...none, doubled: 1 });
});

test("an order that ran although it was refused as not run is counted", async () => {
    const lie: Defect = async (sql, run) => {
        const outcome = await run(sql);
        return sql.startsWith("INSERT INTO orders") ? errorOutcome(OutcomeKind.NotRun, "overloaded") : outcome;
    };
    assert.deepEqual(await runWith([PlaceOrder], lie), { ...none, notRunButRan: 1 });
});

test("a read that misses the caller's own write counts as stale", async () => {
    const stale: Defect = async (sql, run) => {
        const outcome = await run(sql);
        return sql.includes("FROM registers") ? doneOutcome([{ ...outcome.rows[0], value: 0 }], 0) : outcome;
    };
    assert.deepEqual(await runWith([ReadYourWrites], stale), { ...none, staleReads: 1 });
});

test("an answer to another request is counted", async () => {
    const swap: Defect = async (sql, run) => {
        const outcome = await run(sql);
        return sql.includes("AS nonce") ? doneOutcome([{ nonce: "r-9-9", value: 99 }], 0) : outcome;
    };
    assert.deepEqual(await runWith([ReadYourWrites], swap), { ...none, wrongAnswers: 1 });
});

test("a pair of which one half is missing counts as mixed, when read and at the end", async () => {
    const tear: Defect = (sql, run) => sql.includes("half = 'b'") ? Promise.resolve(doneOutcome([], 1)) : run(sql);
    const violations = await runWith([WritePair, ReadPair], tear);
    assert.deepEqual(violations, { ...none, mixedTransactions: 3 });
});

test("a redemption whose balance was not taken counts as mixed", async () => {
    const tear: Defect = (sql, run) => sql.startsWith("UPDATE tokens") ? Promise.resolve(doneOutcome([], 1)) : run(sql);
    assert.deepEqual(await runWith([RedeemToken], tear), { ...none, mixedTransactions: 1 });
});

test("a refusal for rate is wrongful only within the rate, and a run that shows nothing fails", async () => {
    const refuse: Defect = async () => errorOutcome(OutcomeKind.NotRun, "rate_exceeded", { step: "admit" });
    const state = await runLoad({
        connector: new FakeConnector(await openDatabase(), refuse),
        entryCount: 1,
        services: ["orders"],
        identities: [{ keyId: "k", secret: "s", workspace: "w" }],
        rates: [{ name: "w", ratePerSecond: 0, burst: 2 }],
        callerCount: 1,
        plan: new ListPlan([PlaceOrder, PlaceOrder, PlaceOrder]),
        durationMs: 60_000,
        statementLimit: 600,
        nowMs: () => 0,
    });
    assert.equal(state.statistics.wrongfulRefusals, 2);
    const found = violationsOf(summarize(state, undefined, ["orders"]));
    assert.deepEqual(found, ["unverified_orders", "nothing_acknowledged"]);
});

test("the gap covers tried writes only, and a service that never recovers shows", () => {
    const gaps = new FailoverGapMeter();
    gaps.recordAttempt("orders", 0);
    gaps.recordAcknowledgement("orders", 10);
    gaps.recordAcknowledgement("orders", 5_000);
    gaps.recordAttempt("orders", 5_100);
    gaps.finish(6_000);
    assert.equal(gaps.longestGapMs().get("orders"), 1_000);
});

test("a workspace regains its rate up to its burst", () => {
    const rates = new RateModel([{ name: "w", ratePerSecond: 10, burst: 1 }], 0);
    assert.deepEqual([rates.recordStatement("w", 0), rates.recordStatement("w", 50), rates.recordStatement("w", 100)], [
        true,
        false,
        true,
    ]);
    assert.deepEqual([rates.recordStatement("w", 10_000), rates.recordStatement("w", 10_000)], [true, false]);
});

test("refusals keep their kind and code, and an error without an answer is unknown", () => {
    const message = "outcome unknown: not confirmed [code=unconfirmed step=confirm retry_after_ms=20]";
    const parsed = toErrorOutcome({ message, errno: 9040 });
    assert.deepEqual([parsed.kind, parsed.code, parsed.step], [OutcomeKind.Unknown, "unconfirmed", "confirm"]);
    assert.equal(
        toErrorOutcome({ message: "read ECONNRESET", errno: -104, code: "ECONNRESET" }).kind,
        OutcomeKind.Unknown,
    );
    assert.equal(toErrorOutcome({ message: "no such table", errno: 1146 }).kind, OutcomeKind.Failed);
});
