import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FleetKind } from "../../model/fleetMessages.ts";
import { type LinkCommand, LinkCommandKind, LinkKind, LinkLoss, type LinkSend } from "../../model/linkMessages.ts";
import { type PassedResult, type PeerInstance, PeerKind, type PeerSend } from "../../model/peerMessages.ts";
import { SessionKind, type SessionRequested } from "../../model/sessionMessages.ts";
import { SessionStatementKind, StatementFault, TaskMode, TransactionState } from "../../model/sessionStatement.ts";
import { RouteConsistency } from "../../model/trafficPolicy.ts";
import type { Message } from "../../pipeline/message.ts";
import { SeededRandom } from "../../pipeline/seededRandom.ts";
import { position, route, SessionFixture, statement } from "./sessionFixture.ts";

const scheduleCount = 150;

/** Longest time that a request, or the close of a connection, is on its way: a link that is full. */
const longestTransitMs = 700;
const callerCount = 8;
const stopAtMs = 600;
const stop = {
    kind: FleetKind.DrainStarted,
    transactionsUntilMs: stopAtMs + 3_000,
    answersUntilMs: stopAtMs + 5_400,
};
const lastStepAtMs = stopAtMs + 2_400;

const statementKinds = [
    SessionStatementKind.Read,
    SessionStatementKind.Read,
    SessionStatementKind.Read,
    SessionStatementKind.Write,
    SessionStatementKind.Write,
    SessionStatementKind.Begin,
    SessionStatementKind.BeginRead,
    SessionStatementKind.Commit,
    SessionStatementKind.Rollback,
];

const peers = ["front1", "front2", "front3"].map((instanceId, index): PeerInstance => ({
    instanceId,
    address: `10.0.0.${index}:1`,
    dataCentre: "dc1",
}));

/** An instance under load that stops; its databases, peers and leader answer, fail or stay silent at random. */
class StoppingInstance extends SessionFixture {
    /** Requests without an answer, by session; `CONNECT` is one. */
    readonly waiting = new Map<string, number>();
    readonly violations: string[] = [];
    answerCount = 0;
    hasEnded = false;
    private readonly random: SeededRandom;
    /** Share of the events that a database or peer lets pass without an answer. */
    private readonly silence: number;
    private readonly databases = ["orders", "recent", "mine"];
    private readonly commands = new Map<string, LinkCommand[]>();
    private readonly states = new Map<string, TransactionState>();
    private questions: PeerSend[] = [];
    /** Messages of callers that have not arrived, in the order of their arrival. */
    private inTransit: { readonly arrivesAtMs: number; readonly message: Message; }[] = [];
    private readonly transitMs: number;
    /** Requests that have arrived and have no complete answer, by session. */
    private readonly unansweredCounts = new Map<string, number>();
    /** Sessions whose callers were told that they end. */
    private readonly ending = new Set<string>();
    /** Of these, the ones whose caller has taken that for an answer, the rest of which it waits for. */
    private readonly halfAnswered = new Set<string>();
    private nextNumber = 0;

    constructor(seed: number) {
        super(0);
        this.callersLeave = false;
        this.random = new SeededRandom(seed * 1_000_003);
        this.leaderProves = this.happens(0.5);
        const limits = this.happens(0.5)
            ? { statementLimitMs: 1_000, targetLatencyMs: 500 }
            : { statementLimitMs: 20_000, targetLatencyMs: 20_000 };
        const [orders, recent, mine] = this.databases as [string, string, string];
        const routes = [
            route(RouteConsistency.Primary, orders),
            route(RouteConsistency.Bounded, recent, 1_500),
            route(RouteConsistency.Session, mine, 2_500),
        ];
        this.configure(...routes.map(policy => ({ ...policy, ...limits })));
        if (this.happens(0.5)) {
            this.post({ kind: PeerKind.InstancesKnown, instances: peers } as Message);
        }
        this.reportDatabase("p", true);
        this.reportDatabase("r", false);
        ["w", "v"].forEach(workspace => this.grantPermits(workspace, this.random.nextInteger(60)));
        this.silence = this.random.nextFloat() ** 3;
        this.transitMs = this.happens(0.5) ? 1 : longestTransitMs;
    }

    override deliver(message: Message): void {
        super.deliver(message);
        const { sessionId } = message as Message & { readonly sessionId: string; };
        switch (message.kind) {
            case SessionKind.Answer:
                this.unansweredCounts.set(sessionId, this.unansweredCounts.get(sessionId)! - 1);
                if (this.ending.has(sessionId)) {
                    this.halfAnswered.delete(sessionId);
                    return this.tellEnd(sessionId);
                }
                this.answerCount += 1;
                this.countAnswered(sessionId);
                return;
            case SessionKind.Accept:
                this.answerCount += 1;
                this.countAnswered(sessionId);
                return;
            case SessionKind.Ending:
                this.ending.add(sessionId);
                return this.tellEnd(sessionId);
            case SessionKind.Refuse:
                this.waiting.delete(sessionId);
                return;
            case SessionKind.Close:
                this.expectAnswered(sessionId, "is closed");
                this.waiting.delete(sessionId);
                return;
            case FleetKind.Drained:
                this.end();
                return;
            case LinkKind.Send: {
                const { linkId, commands } = message as LinkSend;
                this.commands.set(linkId, [...this.commands.get(linkId) ?? [], ...commands]);
                return;
            }
            case PeerKind.Send:
                this.questions.push(message as PeerSend);
                return;
        }
    }

    /** Runs until the time at which the process would end. */
    run(): void {
        this.runUntil(stopAtMs);
        this.post({ ...stop, final: false } as Message);
        this.runUntil(lastStepAtMs);
        this.post({ ...stop, final: true } as Message);
        this.runUntil(stop.answersUntilMs + 200);
        this.end();
    }

    private runUntil(atMs: number): void {
        while (this.clock.nowMs() < atMs && !this.hasEnded) {
            for (let caller = 0; caller < callerCount; caller++) {
                this.actAsCaller(caller);
            }
            this.arrive();
            this.actAsDatabases();
            this.actAsPeers();
            this.actAsOperator();
            this.advance(Math.min(atMs - this.clock.nowMs(), 1 + this.random.nextInteger(60)));
        }
    }

    private countAnswered(sessionId: string): void {
        if (this.waiting.has(sessionId)) {
            this.waiting.set(sessionId, this.waiting.get(sessionId)! - 1);
        }
    }

    /** The fault answers a request that has been sent; a caller that waits for nothing closes its connection. */
    private tellEnd(sessionId: string): void {
        if (this.waiting.get(sessionId) === 0) {
            this.waiting.delete(sessionId);
            this.send({ kind: SessionKind.Closed, sessionId } as Message);
        }
        else {
            this.halfAnswered.add(sessionId);
            this.countAnswered(sessionId);
        }
    }

    private end(): void {
        if (!this.hasEnded) {
            this.hasEnded = true;
            [...this.waiting.keys()].forEach(sessionId => this.expectAnswered(sessionId, "ends with the instance"));
        }
    }

    private expectAnswered(sessionId: string, event: string): void {
        const pipelined =
            this.inTransit.filter(({ message }) => (message as SessionRequested).sessionId === sessionId).length - 1;
        // Only what was sent without waiting for the answer before may be on its way when the instance is gone.
        const allowed = this.ending.has(sessionId) ? Math.max(0, pipelined) : 0;
        if (this.waiting.get(sessionId)! > allowed || this.unansweredCounts.get(sessionId)! > 0) {
            this.violations.push(`${sessionId} ${event} at ${this.clock.nowMs()} ms with a request without an answer`);
        }
    }

    private actAsCaller(caller: number): void {
        const sessionId = [...this.waiting.keys()].find(id => id.startsWith(`c${caller}-`));
        if (sessionId === undefined) {
            if (this.happens(0.3)) {
                this.open(`c${caller}-${this.nextNumber++}`);
            }
            return;
        }
        const waitingCount = this.waiting.get(sessionId)!;
        if (this.happens(0.01)) {
            this.waiting.delete(sessionId);
            this.send({ kind: SessionKind.Closed, sessionId } as Message);
        }
        else if (this.happens(waitingCount === 0 && !this.halfAnswered.has(sessionId) ? 0.5 : 0.02)) {
            this.waiting.set(sessionId, waitingCount + 1);
            const asked = statement(this.pick(statementKinds), `q${this.nextNumber++}`);
            this.send({ kind: SessionKind.Requested, sessionId, statement: asked } as Message);
        }
    }

    /** Messages of all callers share one link, so they arrive in the order in which they were sent. */
    private send(message: Message): void {
        const arrivesAtMs = this.clock.nowMs() + this.transitMs * this.random.nextFloat();
        this.inTransit.push({ arrivesAtMs: Math.max(arrivesAtMs, this.inTransit.at(-1)?.arrivesAtMs ?? 0), message });
    }

    private arrive(): void {
        while (this.inTransit.length > 0 && this.inTransit[0]!.arrivesAtMs <= this.clock.nowMs()) {
            const { message } = this.inTransit.shift()!;
            const { sessionId } = message as Message & { readonly sessionId: string; };
            if (message.kind === SessionKind.Requested && this.ending.has(sessionId)) {
                // The front end refuses it without a decision.
                this.halfAnswered.delete(sessionId);
                this.tellEnd(sessionId);
                continue;
            }
            if (message.kind === SessionKind.Requested) {
                this.unansweredCounts.set(sessionId, (this.unansweredCounts.get(sessionId) ?? 0) + 1);
            }
            this.post(message);
        }
    }

    private open(sessionId: string): void {
        this.waiting.set(sessionId, 1);
        this.connect(
            sessionId,
            this.happens(0.1) ? "added" : this.pick(this.databases),
            this.happens(0.1) ? "kv" : "k",
        );
    }

    private actAsDatabases(): void {
        for (const { linkId } of this.opened) {
            if (this.closed.includes(linkId) || this.happens(this.silence)) {
                continue;
            }
            if (this.happens(0.02)) {
                this.closed.push(linkId);
                this.post({ kind: LinkKind.Lost, linkId, loss: LinkLoss.Broken, fault: undefined } as Message);
            }
            else if (!this.confirmedLinkIds.includes(linkId)) {
                this.confirmedLinkIds.push(linkId);
                this.post({ kind: LinkKind.Opened, linkId, position: position(1, 1) } as Message);
            }
            else if (this.commands.get(linkId)?.length) {
                this.replyTo(linkId, this.commands.get(linkId)!.shift()!);
            }
        }
    }

    private replyTo(linkId: string, command: LinkCommand): void {
        const before = this.states.get(linkId) ?? TransactionState.None;
        const ends = command.kind === LinkCommandKind.Rollback
            || command.kind === LinkCommandKind.Run && command.statement.kind === SessionStatementKind.Commit;
        const begins = command.kind === LinkCommandKind.Begin || command.kind === LinkCommandKind.BeginRead;
        const fault = !ends && this.happens(0.05)
            ? this.pick([StatementFault.Busy, StatementFault.Failed, StatementFault.ReadOnly])
            : undefined;
        const inTransaction = fault === undefined ? TransactionState.Open : TransactionState.Failed;
        const isOpen = begins ? fault === undefined : before !== TransactionState.None;
        const transaction = ends || !isOpen ? TransactionState.None : inTransaction;
        this.states.set(linkId, transaction);
        this.reply(linkId, { transaction, position: position(1, this.nextNumber++), ...fault && { fault } });
    }

    private actAsPeers(): void {
        const asked = this.questions;
        this.questions = [];
        for (const send of asked) {
            const { address, question } = send;
            if (this.happens(this.silence)) {
                this.questions.push(send);
            }
            else if (this.happens(0.05)) {
                this.questions = this.questions.filter(other => other.address !== address);
                this.post({ kind: PeerKind.Lost, address } as Message);
            }
            else if (question.kind === "task") {
                const { taskId, mode, statement: passed } = question;
                const ends = passed?.kind === SessionStatementKind.Commit
                    || passed?.kind === SessionStatementKind.Rollback;
                const isRefused = this.happens(0.1);
                const pinned = mode !== TaskMode.Single && mode !== TaskMode.Probe && !ends && !isRefused;
                const result: PassedResult = {
                    kind: "task",
                    taskId,
                    reply: isRefused ? undefined : {
                        rows: [],
                        signature: `s${this.nextNumber++}`,
                        fault: undefined,
                        detail: "",
                        transaction: pinned ? TransactionState.Open : TransactionState.None,
                        position: position(1, this.nextNumber++),
                        status: undefined,
                    },
                    fault: isRefused ? StatementFault.Busy : undefined,
                    sent: !isRefused,
                    leads: !isRefused,
                    pinned,
                };
                this.post({ kind: PeerKind.Answered, address, result } as Message);
            }
        }
    }

    private actAsOperator(): void {
        if (this.happens(0.05)) {
            this.provePolicy();
        }
        if (this.happens(0.05)) {
            this.grantPermits("w", this.random.nextInteger(20));
        }
        if (this.happens(0.002)) {
            this.configureWithoutKeys();
        }
    }

    private happens(share: number): boolean {
        return this.random.nextFloat() < share;
    }

    private pick<Value>(values: readonly Value[]): Value {
        return values[this.random.nextInteger(values.length)]!;
    }
}

describe("a stop", () => {
    it("answers every request before its session closes or the instance ends", () => {
        // Guards against requests that a filter still holds, or has dropped, when the instance ends.
        let answerCount = 0;
        for (let seed = 1; seed <= scheduleCount; seed++) {
            const instance = new StoppingInstance(seed);
            instance.run();
            assert.deepEqual(instance.violations, [], `seed ${seed}`);
            answerCount += instance.answerCount;
        }
        assert.ok(answerCount > 100 * scheduleCount, `${answerCount} answers`);
    });
});
