import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { BackendKind } from "../../model/backendMessages.ts";
import { type HolderAnswer, HolderKind } from "../../model/holderMessages.ts";
import { OutcomeKind } from "../../model/outcome.ts";
import { Execution } from "../../model/refusal.ts";
import type { Message } from "../../pipeline/message.ts";
import { type Step, stepArbitrary } from "./historySteps.ts";
import { HolderFixture, isWorkLink } from "./holderFixture.ts";

interface Session {
    origin: string;
    waiting: string | undefined;
    pinned: boolean;
    inTransaction: boolean;
    transaction: number;
    /** Writes of the open transaction that were answered with success. */
    written: string[];
    number: number;
}

interface Sent {
    readonly text: string;
    readonly session: Session;
    readonly idempotencyId: string | undefined;
    readonly floorOffset: number;
    readonly transactionStart: boolean;
    ended: boolean;
}

/** Plays a history against a holder of the primary and checks every answer when it comes. */
class History {
    readonly fixture = new HolderFixture({
        slots: 2,
        connectionLimit: 8,
        settings: { statementLimitMs: 300, probeIdleMs: 50, probeTimeoutMs: 100, confirmationLimitMs: 200 },
    });
    private nextOrigin = 0;
    private readonly sessions: Session[] = [0, 1, 2, 3].map(number => this.newSession(number));
    private readonly sent = new Map<string, Sent>();
    private readonly answered = new Set<string>();
    private leaseUntilMs = 0;
    private leaseEpoch = 1;
    private nextText = 0;

    constructor() {
        this.fixture.announce();
        this.renew(1_000);
        this.fixture.run(50);
        this.fixture.databases.onExecute = (text, nowMs) =>
            assert.ok(nowMs < this.leaseUntilMs, `${text} was sent without a lease`);
        this.fixture.collector.onMessage = (message, nowMs) => this.check(message, nowMs);
    }

    play(steps: readonly Step[]): void {
        steps.forEach(step => this.perform(step));
        this.settle();
    }

    private perform(step: Step): void {
        const { databases } = this.fixture;
        switch (step.do) {
            case "statement":
                return this.statement(this.sessions[step.session]!, step.choice);
            case "resend":
                return this.resend(step.pick);
            case "end session":
                return this.endSession(step.session, false);
            case "lose stream":
                return this.endSession(step.session, true);
            case "cut":
            case "silence":
            case "drop":
            case "stale result":
                return this.breakLink(step.do, step.pick);
            case "refuse connections":
            case "accept connections":
                databases.get("p").acceptsConnections = step.do === "accept connections";
                return;
            case "replicate all":
                databases.replicate("p", "r1");
                return databases.replicate("p", "r2");
            case "replicate":
                return databases.replicate(
                    "p",
                    `r${step.replica}`,
                    databases.get(`r${step.replica}`).log.length + step.count,
                );
            case "expire lease":
                return this.renew(0);
            case "new epoch":
                this.leaseEpoch++;
                return this.renew(1_000);
            case "renew lease":
                return this.renew(step.forMs);
            case "freeze":
                return this.fixture.clock.suspend(step.forMs);
            case "wait":
                return this.fixture.run(step.forMs);
        }
    }

    private statement(session: Session, choice: number): void {
        if (session.waiting !== undefined) {
            return;
        }
        const id = this.nextText++;
        if (session.inTransaction) {
            const withId = choice % 4 < 2 ? `c${id}` : undefined;
            const insert = `INSERT t${session.transaction} n${id}`;
            const text = [insert, insert, `COMMIT ${id}`, `COMMIT ${id}`, `SELECT ${id}`, "ROLLBACK"][choice % 6]!;
            return this.send(session, text, text.startsWith("COMMIT") ? withId : undefined);
        }
        const text = [
            `INSERT t0 n${id}`,
            `INSERT t0 n${id}`,
            `SELECT ${id}`,
            `BEGIN ${id}`,
            `SELECT ${id}`,
        ][choice % 5]!;
        this.send(session, text, text.startsWith("INSERT") && choice % 2 === 0 ? `w${id}` : undefined);
    }

    private resend(pick: number): void {
        const known = [...this.sent.values()].filter(sent => sent.text.startsWith("INSERT") && sent.idempotencyId);
        const original = known[pick % Math.max(1, known.length)];
        const free = this.sessions.find(session => session.waiting === undefined && !session.inTransaction);
        if (original !== undefined && free !== undefined) {
            this.send(free, original.text, original.idempotencyId);
        }
    }

    private send(session: Session, text: string, idempotencyId: string | undefined): void {
        const isRead = text.startsWith("SELECT");
        const floorOffset = isRead && !session.inTransaction ? this.fixture.databases.get("p").log.length : 0;
        const requestId = this.fixture.send(text, {
            sessionId: `s${session.number}`,
            origin: session.origin,
            idempotencyId,
            deadlineMs: this.fixture.clock.nowMs() + 100,
            pinned: session.pinned,
            repeatable: isRead,
            floor: floorOffset > 0 ? { term: 1, offset: floorOffset } : undefined,
        });
        session.waiting = requestId;
        const transactionStart = text.startsWith("BEGIN");
        this.sent.set(requestId, { text, session, idempotencyId, floorOffset, transactionStart, ended: false });
    }

    private endSession(number: number, streamLost: boolean): void {
        const session = this.sessions[number]!;
        const message = streamLost
            ? { kind: HolderKind.StreamLost, origin: session.origin, holderAddress: undefined, requestIds: [] }
            : { kind: HolderKind.SessionEnd, origin: session.origin, sessionId: `s${number}`, databaseId: "p" };
        this.fixture.post(message as Message);
        for (const sent of this.sent.values()) {
            sent.ended ||= sent.session === session;
        }
        this.sessions[number] = this.newSession(number);
    }

    private newSession(number: number): Session {
        const origin = `o${this.nextOrigin++}`;
        return { origin, waiting: undefined, pinned: false, inTransaction: false, transaction: 0, written: [], number };
    }

    private breakLink(how: "cut" | "silence" | "drop" | "stale result", pick: number): void {
        const links = [...this.fixture.databases.links].filter(([linkId]) => isWorkLink(linkId) || how === "cut");
        const [linkId, link] = links[pick % Math.max(1, links.length)] ?? [];
        if (how === "cut") {
            this.fixture.databases.closeLinks(other => other === linkId);
        }
        else if (how === "stale result" && linkId !== undefined) {
            const outcome = { kind: OutcomeKind.Rows, columns: [], rows: [["stale", "0"]] };
            this.fixture.post(
                {
                    kind: BackendKind.Result,
                    linkId,
                    executionId: "execute:stale",
                    outcome,
                    inTransaction: false,
                } as Message,
            );
        }
        else if (link !== undefined) {
            link.unresponsive ||= how === "silence";
            link.closesAfterNext ||= how === "drop";
        }
    }

    private renew(forMs: number): void {
        this.fixture.run(0);
        this.leaseUntilMs = this.fixture.clock.nowMs() + forMs;
        this.fixture.renewLeases(this.leaseUntilMs, this.leaseEpoch);
        this.fixture.run(0);
    }

    private check(message: Message, nowMs: number): void {
        if (message.kind !== HolderKind.Reply) {
            return;
        }
        const { requestId, outcome, inTransaction, pinned } = message as unknown as HolderAnswer;
        const sent = this.sent.get(requestId)!;
        assert.ok(!this.answered.has(requestId), `${requestId} was answered twice`);
        this.answered.add(requestId);
        const { session, text } = sent;
        session.waiting = undefined;
        const isDone = outcome.kind === OutcomeKind.Done;
        if (isDone && text.startsWith("COMMIT")) {
            session.written.forEach(written => this.checkAcknowledged(written, nowMs));
        }
        session.written = !inTransaction || sent.transactionStart ? [] : session.written;
        if (isDone && inTransaction && text.startsWith("INSERT")) {
            session.written.push(text);
        }
        session.inTransaction = inTransaction;
        session.pinned = pinned;
        session.transaction = sent.transactionStart && inTransaction ? this.nextText++ : session.transaction;
        if (outcome.kind === OutcomeKind.Rows) {
            assert.equal(outcome.rows[0]![0], text, "a read got the answer of another one");
            assert.ok(Number(outcome.rows[0]![1]) >= sent.floorOffset, `${text} ran below its floor`);
        }
        else if (isDone && text.startsWith("INSERT") && !inTransaction) {
            this.checkAcknowledged(text, nowMs);
        }
    }

    private checkAcknowledged(text: string, nowMs: number): void {
        const { databases } = this.fixture;
        const copies = ["p", "r1", "r2"].filter(id => databases.timesCommitted(id, text) > 0).length;
        assert.ok(copies >= 2, `${text} was acknowledged with ${copies} of 3 copies`);
        assert.ok(nowMs < this.leaseUntilMs, `${text} was acknowledged without a lease`);
    }

    /** Lets everything end and checks what holds for the history as a whole. */
    private settle(): void {
        const { databases } = this.fixture;
        databases.get("p").acceptsConnections = true;
        this.renew(10_000);
        this.fixture.run(3_000);
        for (const [requestId, sent] of this.sent) {
            assert.ok(this.answered.has(requestId) || sent.ended, `${requestId} ${sent.text} has no answer`);
            assert.ok(databases.timesCommitted("p", sent.text) <= 1, `${sent.text} was committed twice`);
            this.checkNotRun(requestId, sent);
        }
        this.checkTransactions();
        const open = [...databases.links.values()].filter(link => link.transaction !== undefined).length;
        const live = this.sessions.filter(session => session.inTransaction).length;
        assert.ok(open <= live, `${open} open transactions of ${live} sessions that have one`);
        assert.deepEqual(databases.violations, []);
        assert.ok(databases.get("p").maximumRunning <= 2, `${databases.get("p").maximumRunning} statements on 2 slots`);
        assert.ok(databases.get("p").maximumLinks <= 8, `${databases.get("p").maximumLinks} connections of 8`);
    }

    private checkNotRun(requestId: string, { text, idempotencyId }: Sent): void {
        const isWrite = text.startsWith("INSERT") && idempotencyId === undefined;
        if (isWrite && this.fixture.execution(requestId) === Execution.NotRun) {
            const everSent = this.fixture.databases.executedTexts.includes(text);
            assert.ok(!everSent, `${text} was answered as not run and ran`);
        }
    }

    private checkTransactions(): void {
        for (const { texts } of this.fixture.databases.get("p").log) {
            const names = new Set(texts.flatMap(text => /^INSERT (t\d+) /.exec(text)?.[1] ?? []));
            assert.ok(names.size <= 1, `one commit holds statements of ${[...names].join()}`);
            assert.ok(texts.length < 2 || !names.has("t0") || texts.length === 2, `mixed commit: ${texts.join()}`);
        }
        const inTransaction = this.fixture.databases.autocommitted.filter(text => /^INSERT t[1-9]/.test(text));
        assert.deepEqual(inTransaction, [], "statements of a transaction ran outside it");
    }
}

describe("holder invariants over generated histories", () => {
    it("guards acknowledgement by a majority under a lease, truth of not run, at most once, and transactions", () => {
        const runs = Number(process.env.HOLDER_RUNS ?? 300);
        fc.assert(
            fc.property(fc.array(stepArbitrary, { minLength: 20, maxLength: 120 }), steps => new History().play(steps)),
            { seed: 20_261_204, numRuns: runs, includeErrorInReport: true },
        );
    });
});
