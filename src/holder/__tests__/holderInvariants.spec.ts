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
    pendingRequestId: string | undefined;
    pinned: boolean;
    inTransaction: boolean;
    transactionNumber: number;
    /** Writes of the open transaction that were answered as successful. */
    written: string[];
    number: number;
}

interface SentStatement {
    readonly text: string;
    readonly session: Session;
    readonly idempotencyId: string | undefined;
    readonly floorOffset: number;
    readonly startsTransaction: boolean;
    ended: boolean;
}

/** Runs a history against the holder of a primary and checks each answer as it arrives. */
class HistoryRunner {
    readonly fixture = new HolderFixture({
        slots: 2,
        connectionLimit: 8,
        settings: { statementLimitMs: 300, probeIdleMs: 50, probeTimeoutMs: 100, confirmationLimitMs: 200 },
    });
    private nextOrigin = 0;
    private readonly sessions: Session[] = [0, 1, 2, 3].map(number => this.newSession(number));
    private readonly sentStatements = new Map<string, SentStatement>();
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
        this.fixture.collector.onMessage = (message, nowMs) => this.checkAnswer(message, nowMs);
    }

    run(steps: readonly Step[]): void {
        steps.forEach(step => this.perform(step));
        this.finishAndCheck();
    }

    private perform(step: Step): void {
        const { databases } = this.fixture;
        switch (step.action) {
            case "statement":
                return this.sendStatement(this.sessions[step.session]!, step.choice);
            case "resend":
                return this.resend(step.index);
            case "end session":
                return this.endSession(step.session, false);
            case "lose stream":
                return this.endSession(step.session, true);
            case "cut":
            case "silence":
            case "drop":
            case "stale result":
                return this.injectLinkFault(step.action, step.index);
            case "refuse connections":
            case "accept connections":
                databases.get("p").acceptsConnections = step.action === "accept connections";
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
                return this.renew(step.durationMs);
            case "freeze":
                return this.fixture.clock.suspend(step.durationMs);
            case "wait":
                return this.fixture.run(step.durationMs);
        }
    }

    private sendStatement(session: Session, choice: number): void {
        if (session.pendingRequestId !== undefined) {
            return;
        }
        const id = this.nextText++;
        if (session.inTransaction) {
            const commitId = choice % 4 < 2 ? `c${id}` : undefined;
            const insert = `INSERT t${session.transactionNumber} n${id}`;
            const text = [
                insert,
                insert,
                `COMMIT ${id}`,
                `COMMIT ${id}`,
                `SELECT ${id}`,
                "ROLLBACK",
            ][choice % 6]!;
            return this.send(session, text, text.startsWith("COMMIT") ? commitId : undefined);
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

    private resend(index: number): void {
        const sentWrites = [...this.sentStatements.values()].filter(sent =>
            sent.text.startsWith("INSERT") && sent.idempotencyId
        );
        const original = sentWrites[index % Math.max(1, sentWrites.length)];
        const free = this.sessions.find(session => session.pendingRequestId === undefined && !session.inTransaction);
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
        session.pendingRequestId = requestId;
        const startsTransaction = text.startsWith("BEGIN");
        this.sentStatements.set(requestId, {
            text,
            session,
            idempotencyId,
            floorOffset,
            startsTransaction,
            ended: false,
        });
    }

    private endSession(number: number, streamLost: boolean): void {
        const session = this.sessions[number]!;
        const message = streamLost
            ? { kind: HolderKind.StreamLost, origin: session.origin, holderAddress: undefined, requestIds: [] }
            : { kind: HolderKind.SessionEnd, origin: session.origin, sessionId: `s${number}`, databaseId: "p" };
        this.fixture.post(message as Message);
        for (const sent of this.sentStatements.values()) {
            sent.ended ||= sent.session === session;
        }
        this.sessions[number] = this.newSession(number);
    }

    private newSession(number: number): Session {
        const origin = `o${this.nextOrigin++}`;
        return {
            origin,
            pendingRequestId: undefined,
            pinned: false,
            inTransaction: false,
            transactionNumber: 0,
            written: [],
            number,
        };
    }

    private injectLinkFault(fault: "cut" | "silence" | "drop" | "stale result", index: number): void {
        const links = [...this.fixture.databases.links].filter(([linkId]) => isWorkLink(linkId) || fault === "cut");
        const [linkId, link] = links[index % Math.max(1, links.length)] ?? [];
        if (fault === "cut") {
            this.fixture.databases.closeLinks(other => other === linkId);
        }
        else if (fault === "stale result" && linkId !== undefined) {
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
            link.unresponsive ||= fault === "silence";
            link.closesAfterNext ||= fault === "drop";
        }
    }

    private renew(forMs: number): void {
        this.fixture.run(0);
        this.leaseUntilMs = this.fixture.clock.nowMs() + forMs;
        this.fixture.renewLeases(this.leaseUntilMs, this.leaseEpoch);
        this.fixture.run(0);
    }

    private checkAnswer(message: Message, nowMs: number): void {
        if (message.kind !== HolderKind.Reply) {
            return;
        }
        const { requestId, outcome, inTransaction, pinned } = message as unknown as HolderAnswer;
        const sent = this.sentStatements.get(requestId)!;
        assert.ok(!this.answered.has(requestId), `${requestId} was answered twice`);
        this.answered.add(requestId);
        const { session, text } = sent;
        session.pendingRequestId = undefined;
        const isDone = outcome.kind === OutcomeKind.Done;
        if (isDone && text.startsWith("COMMIT")) {
            session.written.forEach(written => this.checkAcknowledged(written, nowMs));
        }
        session.written = !inTransaction || sent.startsTransaction ? [] : session.written;
        if (isDone && inTransaction && text.startsWith("INSERT")) {
            session.written.push(text);
        }
        session.inTransaction = inTransaction;
        session.pinned = pinned;
        session.transactionNumber = sent.startsTransaction && inTransaction
            ? this.nextText++
            : session.transactionNumber;
        if (outcome.kind === OutcomeKind.Rows) {
            assert.equal(outcome.rows[0]![0], text, "a read received the result of another statement");
            assert.ok(Number(outcome.rows[0]![1]) >= sent.floorOffset, `${text} read data older than its floor`);
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

    /** Waits until all statements have ended, then checks the invariants of the whole history. */
    private finishAndCheck(): void {
        const { databases } = this.fixture;
        databases.get("p").acceptsConnections = true;
        this.renew(10_000);
        this.fixture.run(3_000);
        for (const [requestId, sent] of this.sentStatements) {
            assert.ok(
                this.answered.has(requestId) || sent.ended,
                `${requestId} ${sent.text} has no answer`,
            );
            assert.ok(
                databases.timesCommitted("p", sent.text) <= 1,
                `${sent.text} was committed twice`,
            );
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

    private checkNotRun(requestId: string, { text, idempotencyId }: SentStatement): void {
        const isWrite = text.startsWith("INSERT") && idempotencyId === undefined;
        if (isWrite && this.fixture.execution(requestId) === Execution.NotRun) {
            const everSent = this.fixture.databases.executedTexts.includes(text);
            assert.ok(!everSent, `${text} was answered as not run, but it ran`);
        }
    }

    private checkTransactions(): void {
        for (const { texts } of this.fixture.databases.get("p").log) {
            const transactionNames = new Set(texts.flatMap(text => /^INSERT (t\d+) /.exec(text)?.[1] ?? []));
            assert.ok(
                transactionNames.size <= 1,
                `one commit contains statements of several transactions: ${[...transactionNames].join()}`,
            );
            assert.ok(
                texts.length < 2 || !transactionNames.has("t0") || texts.length === 2,
                `mixed commit: ${texts.join()}`,
            );
        }
        const inTransaction = this.fixture.databases.autocommittedTexts.filter(text => /^INSERT t[1-9]/.test(text));
        assert.deepEqual(inTransaction, [], "statements of a transaction ran outside it");
    }
}

describe("holder invariants over generated histories", () => {
    it("acknowledges only with lease and majority, runs no refused write, commits once, mixes no transactions", () => {
        const runs = Number(process.env.HOLDER_RUNS ?? 300);
        fc.assert(
            fc.property(
                fc.array(stepArbitrary, { minLength: 20, maxLength: 120 }),
                steps => new HistoryRunner().run(steps),
            ),
            { seed: 20_261_204, numRuns: runs, includeErrorInReport: true },
        );
    });
});
