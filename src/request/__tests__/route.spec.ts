import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ClusterKind, type DatabaseView } from "../../model/clusterMessages.ts";
import { DatabaseRole } from "../../model/database.ts";
import {
    type HolderAnswer,
    type HolderFloorRequest,
    HolderKind,
    type HolderRequest,
    type HolderSessionEnd,
} from "../../model/holderMessages.ts";
import { type Outcome, OutcomeKind } from "../../model/outcome.ts";
import { RefusalCode, refuse } from "../../model/refusal.ts";
import { StatementKind } from "../../model/statement.ts";
import { defaultWorkClass, RepeatPolicy } from "../../model/workClass.ts";
import { EventLoop } from "../../pipeline/eventLoop.ts";
import type { Message } from "../../pipeline/message.ts";
import { Pipe } from "../../pipeline/pipe.ts";
import { SeededRandom } from "../../pipeline/seededRandom.ts";
import { VirtualClock } from "../../pipeline/virtualClock.ts";
import { type AdmittedRequest, type AnsweredRequest, LocalAction, RequestKind } from "../requestMessages.ts";
import { RouteFilter } from "../route.ts";
import { createDatabase } from "./shopFixture.ts";

const doneOutcome: Outcome = { kind: OutcomeKind.Done, affectedRows: 1, insertId: 0 };
const seed = 20_261_204;

const defaultDatabases = [
    createDatabase("p", DatabaseRole.Primary),
    createDatabase("r1", DatabaseRole.Replica),
    createDatabase("r2", DatabaseRole.Replica),
];

class RouteFixture {
    readonly clock = new VirtualClock();
    readonly requests: HolderRequest[] = [];
    readonly sessionEnds: HolderSessionEnd[] = [];
    readonly floorRequests: HolderFloorRequest[] = [];
    readonly answers: AnsweredRequest[] = [];
    /** First answer of the fake holder to each attempt, by request id. */
    readonly firstOutcomes = new Map<string, string>();
    readonly loop: EventLoop;
    private nextSequence = 0;

    constructor(databases: readonly DatabaseView[] = defaultDatabases) {
        const route = new RouteFilter({
            instanceId: "e1",
            incarnation: "i",
            dataCentre: "a",
            random: new SeededRandom(seed),
            tokenCodec: { encode: () => "token", decode: token => this.decode(token) },
        });
        const sink = {
            accepts: [
                HolderKind.Request,
                HolderKind.SessionEnd,
                HolderKind.FloorRequest,
                RequestKind.Answered,
                RequestKind.Refused,
            ],
            deliver: (message: Message) => this.recordMessage(message),
        };
        this.loop = new EventLoop({ clock: this.clock, pipes: [new Pipe("request", [route])], sinks: [sink] });
        this.postEvent({ kind: ClusterKind.DatabasesChanged, databases });
    }

    postEvent(message: Message & Record<string, unknown>): void {
        this.loop.post(message);
        this.clock.advanceTo(this.clock.nowMs());
    }

    sendStatement(statementKind: StatementKind, fields: Partial<AdmittedRequest> = {}): AdmittedRequest {
        const request: AdmittedRequest = {
            kind: RequestKind.Admitted,
            connectionId: 1,
            sequence: this.nextSequence++,
            callerId: "key-1",
            workspace: "shop",
            service: "boards",
            text: "statement",
            arrivedAtMs: this.clock.nowMs(),
            statementKind,
            localAction: LocalAction.None,
            localArgument: "",
            attributes: {
                workClass: undefined,
                requestId: undefined,
                maximumAgeMs: undefined,
                sessionToken: undefined,
            },
            workClass: "default",
            targets: defaultWorkClass,
            deadlineMs: this.clock.nowMs() + 2_000,
            inTransaction: false,
            ...fields,
        };
        this.postEvent({ ...request });
        return request;
    }

    answer(request: HolderRequest, fields: Partial<HolderAnswer> = {}): void {
        const body = { outcome: doneOutcome, written: undefined, inTransaction: false, pinned: false, ...fields };
        this.postEvent({ kind: HolderKind.Answer, requestId: request.requestId, ...body });
    }

    refuse(request: HolderRequest, code: RefusalCode): void {
        this.answer(request, { outcome: { kind: OutcomeKind.Refused, refusal: refuse(code, "fake") } });
    }

    answerFloor(offset: number, currentAgeMs = 0): void {
        const { requestId, callerIds } = this.floorRequests.at(-1)!;
        const position = { term: 1, offset };
        const floors = callerIds.map(() => position);
        this.postEvent({ kind: HolderKind.FloorAnswer, requestId, floors, current: position, currentAgeMs });
    }

    lastOutcome(): string {
        const outcome = this.answers.at(-1)?.outcome;
        return outcome?.kind === OutcomeKind.Refused ? outcome.refusal.code : outcome?.kind ?? "no answer";
    }

    private decode(
        token: string,
    ): { callerId: string; floors: Map<string, { term: number; offset: number; }>; } | undefined {
        const [callerId, offset] = token.split(":");
        return { callerId: callerId!, floors: new Map([["g", { term: 1, offset: Number(offset) }]]) };
    }

    private recordMessage(message: Message): void {
        if (message.kind === HolderKind.Request) {
            this.requests.push(message as HolderRequest);
        }
        else if (message.kind === HolderKind.SessionEnd) {
            this.sessionEnds.push(message as HolderSessionEnd);
        }
        else if (message.kind === HolderKind.FloorRequest) {
            this.floorRequests.push(message as HolderFloorRequest);
        }
        else {
            this.answers.push(message as AnsweredRequest);
        }
    }
}

describe("route", () => {
    it("sends a read with the floor of its caller, requested after the read arrived", () => {
        const fixture = new RouteFixture();
        fixture.sendStatement(StatementKind.Read);
        assert.equal(fixture.requests.length, 0);
        fixture.answerFloor(7);
        assert.notEqual(fixture.requests[0]!.databaseId, "p");
        assert.deepEqual(fixture.requests[0]!.floor, { term: 1, offset: 7 });
    });

    it("does not use the answer to a floor request for a read that arrived after the request was sent", () => {
        const fixture = new RouteFixture();
        fixture.sendStatement(StatementKind.Read);
        fixture.sendStatement(StatementKind.Read, { connectionId: 2 });
        assert.equal(fixture.floorRequests.length, 1);
        fixture.answerFloor(7);
        assert.equal(fixture.requests.length, 1);
        assert.equal(fixture.floorRequests.length, 2);
        fixture.answerFloor(8);
        assert.deepEqual(fixture.requests[1]!.floor, { term: 1, offset: 8 });
    });

    it("sends reads to a replica again whose last caller closed its connection before the answer", () => {
        // Guards against replicas that get fewer and fewer reads, because statements without an end count as in flight.
        const fixture = new RouteFixture();
        fixture.sendStatement(StatementKind.Read);
        fixture.answerFloor(0);
        const { databaseId } = fixture.requests[0]!;
        fixture.postEvent({ kind: RequestKind.SessionEnded, connectionId: 1 });
        for (let connectionId = 2; connectionId < 22; connectionId++) {
            fixture.sendStatement(StatementKind.Read, { connectionId });
            fixture.answerFloor(0);
            fixture.answer(fixture.requests.at(-1)!);
        }
        assert.ok(fixture.requests.slice(1).some(request => request.databaseId === databaseId));
    });

    it("raises the floor of a session that carries a token, and rejects another caller's token", () => {
        const fixture = new RouteFixture();
        const attributes = { workClass: undefined, requestId: undefined, maximumAgeMs: undefined };
        fixture.sendStatement(StatementKind.Read, { attributes: { ...attributes, sessionToken: "key-1:42" } });
        fixture.answerFloor(7);
        assert.deepEqual(fixture.requests[0]!.floor, { term: 1, offset: 42 });
        fixture.sendStatement(StatementKind.Read, {
            connectionId: 3,
            attributes: { ...attributes, sessionToken: "key-9:42" },
        });
        assert.equal(
            (fixture.answers.at(-1) as unknown as { refusal: { code: string; }; }).refusal.code,
            "malformed_attribute",
        );
    });

    it("never reads from a replica when no position sample is recent enough for the maximum age", () => {
        const fixture = new RouteFixture();
        fixture.sendStatement(StatementKind.Read, { targets: { ...defaultWorkClass, maximumAgeMs: 5 } });
        fixture.answerFloor(7, 50);
        assert.equal(fixture.requests[0]!.databaseId, "p");
    });

    it("sends a write to the primary only once, also when the stream is lost afterwards", () => {
        const fixture = new RouteFixture();
        fixture.sendStatement(StatementKind.Write);
        const [request] = fixture.requests;
        const lost = { holderAddress: "", origin: undefined, requestIds: [request!.requestId] };
        fixture.postEvent({ kind: HolderKind.StreamLost, ...lost });
        assert.equal(fixture.lastOutcome(), RefusalCode.ConnectionLost);
        fixture.clock.advanceTo(100_000);
        assert.equal(fixture.requests.length, 1);
        fixture.answer(request!);
        assert.equal(fixture.answers.length, 1);
    });

    it("reports a rollback when the connection ends before COMMIT, and an unknown outcome afterwards", () => {
        // Guards against a commit that the caller is told to be rolled back; DDL and BEGIN commit an open transaction.
        for (
            const [kind, text, code] of [
                [StatementKind.Read, "SELECT a FROM t", RefusalCode.TransactionLost],
                [StatementKind.Write, "UPDATE t SET a = 1", RefusalCode.TransactionLost],
                [StatementKind.Write, "(SELECT a FROM t FOR UPDATE)", RefusalCode.TransactionLost],
                [StatementKind.SessionState, "INSERT INTO t VALUES (LAST_INSERT_ID())", RefusalCode.TransactionLost],
                [StatementKind.Rollback, "ROLLBACK", RefusalCode.TransactionLost],
                [StatementKind.Commit, "COMMIT", RefusalCode.ConnectionLost],
                [StatementKind.Begin, "BEGIN", RefusalCode.ConnectionLost],
                [StatementKind.Write, "create table u (a INT)", RefusalCode.ConnectionLost],
                [StatementKind.SessionState, "LOCK TABLES t WRITE", RefusalCode.ConnectionLost],
            ] as const
        ) {
            const fixture = new RouteFixture();
            fixture.sendStatement(StatementKind.Begin);
            fixture.answer(fixture.requests[0]!, { inTransaction: true, pinned: true });
            fixture.sendStatement(kind, { text });
            const requestIds = [fixture.requests[1]!.requestId];
            fixture.postEvent({ kind: HolderKind.StreamLost, holderAddress: "", origin: undefined, requestIds });
            assert.equal(fixture.lastOutcome(), code, text);
        }
    });

    it("ends the session at a holder that did not answer in time, before its next statement", () => {
        // Guards against a statement that runs inside a transaction which its caller was told to be rolled back.
        const fixture = new RouteFixture();
        fixture.sendStatement(StatementKind.Begin);
        fixture.answer(fixture.requests[0]!, { inTransaction: true, pinned: true });
        fixture.sendStatement(StatementKind.Write, { text: "UPDATE t SET a = 1" });
        fixture.clock.advanceTo(fixture.clock.nowMs() + 100_000);
        assert.equal(fixture.lastOutcome(), RefusalCode.TransactionLost);
        const { sessionId, databaseId } = fixture.requests[1]!;
        assert.deepEqual(fixture.sessionEnds, [{ kind: HolderKind.SessionEnd, origin: "", sessionId, databaseId }]);
    });

    it("sends the statements of a pinned session to its database", () => {
        const fixture = new RouteFixture();
        fixture.sendStatement(StatementKind.Begin);
        fixture.answer(fixture.requests[0]!, { inTransaction: true, pinned: true });
        fixture.sendStatement(StatementKind.Read);
        assert.equal(fixture.requests[1]!.databaseId, "p");
        assert.equal(fixture.requests[1]!.pinned, true);
        assert.equal(fixture.floorRequests.length, 0);
    });

    it("waits for a primary within the waiting target, and refuses the statement as not run afterwards", () => {
        const fixture = new RouteFixture(defaultDatabases.slice(1));
        fixture.sendStatement(StatementKind.Write);
        fixture.clock.advanceTo(1_000);
        fixture.postEvent({ kind: ClusterKind.DatabasesChanged, databases: defaultDatabases });
        assert.equal(fixture.requests.length, 1);
        const expired = new RouteFixture(defaultDatabases.slice(1));
        expired.sendStatement(StatementKind.Write);
        expired.clock.advanceTo(2_000);
        assert.equal(expired.lastOutcome(), RefusalCode.NoPrimary);
    });

    const evacuatedDatabases = defaultDatabases.map(database =>
        database.databaseId === "r1" ? { ...database, dataCentre: "b" } : { ...database, evacuated: true }
    );

    it("sends no new work to an evacuated data centre, to the primary after some time, and refuses it at once", () => {
        const fixture = new RouteFixture();
        fixture.postEvent({ kind: ClusterKind.DatabasesChanged, databases: evacuatedDatabases });
        for (let connectionId = 10; connectionId < 30; connectionId++) {
            fixture.sendStatement(StatementKind.Read, { connectionId });
            fixture.answerFloor(7);
            assert.equal(fixture.requests.at(-1)!.databaseId, "r1");
        }
        const sentCount = fixture.requests.length;
        fixture.clock.advanceTo(1_900);
        fixture.sendStatement(StatementKind.Write, { connectionId: 40 });
        assert.equal(fixture.requests.length, sentCount + 1, "the primary goes on until another one may lead");
        fixture.clock.advanceTo(2_000);
        const kinds = [StatementKind.Write, StatementKind.Begin, StatementKind.Read];
        kinds.forEach((kind, index) => {
            fixture.sendStatement(kind, { connectionId: 50 + index });
            assert.equal(fixture.lastOutcome(), RefusalCode.NoPrimary);
            const outcome = fixture.answers.at(-1)!.outcome;
            assert.equal(outcome.kind === OutcomeKind.Refused ? outcome.refusal.retryAfterMs : 0, 5_000);
        });
        assert.equal(fixture.requests.length, sentCount + 1);
        fixture.postEvent({ kind: ClusterKind.DatabasesChanged, databases: defaultDatabases });
        fixture.sendStatement(StatementKind.Write, { connectionId: 60 });
        assert.equal(fixture.requests.length, sentCount + 2);
    });

    it("sends nothing to an evacuated primary that it hears of after other databases, or again", () => {
        // Guards against a further part of the bound for an evacuation whose age is unknown.
        const fixture = new RouteFixture([]);
        const others = evacuatedDatabases.filter(({ databaseId }) => databaseId === "r1");
        for (const databases of [others, evacuatedDatabases, others, evacuatedDatabases]) {
            fixture.postEvent({ kind: ClusterKind.DatabasesChanged, databases });
        }
        fixture.sendStatement(StatementKind.Write);
        assert.equal(fixture.lastOutcome(), RefusalCode.NoPrimary);
        assert.equal(fixture.requests.length, 0);
    });

    it("lets a transaction in an evacuated data centre go on for some time, and then rolls it back", () => {
        const fixture = new RouteFixture();
        fixture.sendStatement(StatementKind.Begin);
        fixture.answer(fixture.requests[0]!, { inTransaction: true, pinned: true });
        fixture.postEvent({ kind: ClusterKind.DatabasesChanged, databases: evacuatedDatabases });
        fixture.clock.advanceTo(2_900);
        fixture.sendStatement(StatementKind.Read);
        fixture.answer(fixture.requests[1]!, { inTransaction: true, pinned: true });
        fixture.clock.advanceTo(3_000);
        fixture.sendStatement(StatementKind.Commit);
        assert.equal(fixture.lastOutcome(), RefusalCode.TransactionLost);
        assert.equal(fixture.requests.length, 2);
        assert.deepEqual(fixture.sessionEnds.map(({ databaseId }) => databaseId), ["p"]);
    });

    it("answers each statement once, retries only reads and statements that did not run, and keeps the deadline", () => {
        const event = fc.record({
            action: fc.constantFrom("send", "done", "not run", "unknown", "lost", "moved", "floor", "time"),
            read: fc.boolean(),
            pick: fc.nat(20),
        });
        fc.assert(
            fc.property(fc.array(event, { maxLength: 60 }), events => {
                const fixture = new RouteFixture();
                const statements = new Map<number, { read: boolean; deadlineMs: number; }>();
                let epoch = 1;
                for (const { action, read, pick } of events) {
                    const request = fixture.requests[pick % Math.max(1, fixture.requests.length)];
                    const connectionId = statements.size + 1;
                    if (action === "send") {
                        const kind = read ? StatementKind.Read : StatementKind.Write;
                        const targets = { ...defaultWorkClass, repeat: RepeatPolicy.Reads };
                        const { deadlineMs } = fixture.sendStatement(kind, {
                            connectionId,
                            targets,
                            text: String(connectionId),
                        });
                        statements.set(connectionId, { read, deadlineMs });
                    }
                    else if (action === "floor" && fixture.floorRequests.length > 0) {
                        fixture.answerFloor(pick);
                    }
                    else if (action === "moved") {
                        epoch += 1;
                        const databases = defaultDatabases.map(each =>
                            createDatabase(each.databaseId, each.role, epoch)
                        );
                        fixture.postEvent({ kind: ClusterKind.DatabasesChanged, databases });
                    }
                    else if (action === "time") {
                        fixture.clock.advanceTo(fixture.clock.nowMs() + pick * 20);
                    }
                    else if (request !== undefined) {
                        applyAction(fixture, action, request);
                    }
                }
                fixture.clock.advanceTo(fixture.clock.nowMs() + 100_000);
                checkInvariants(fixture, statements);
            }),
            { seed, numRuns: 500 },
        );
    });
});

function applyAction(fixture: RouteFixture, action: string, request: HolderRequest): void {
    if (!fixture.firstOutcomes.has(request.requestId)) {
        fixture.firstOutcomes.set(request.requestId, action);
    }
    if (action === "done") {
        fixture.answer(request);
    }
    else if (action === "lost") {
        const lost = { holderAddress: "", origin: undefined, requestIds: [request.requestId] };
        fixture.postEvent({ kind: HolderKind.StreamLost, ...lost });
    }
    else {
        fixture.refuse(request, action === "not run" ? RefusalCode.HolderUnavailable : RefusalCode.ConnectionLost);
    }
}

function checkInvariants(
    fixture: RouteFixture,
    statements: ReadonlyMap<number, { read: boolean; deadlineMs: number; }>,
): void {
    const answeredIds = fixture.answers.map(answer => answer.connectionId);
    assert.deepEqual([...answeredIds].sort(), [...statements.keys()].sort(), "each statement has exactly one answer");
    for (const [connectionId, { read }] of statements) {
        const attempts = fixture.requests.filter(request => request.text === String(connectionId));
        const mayHaveRun = attempts.filter(attempt => fixture.firstOutcomes.get(attempt.requestId) !== "not run");
        assert.ok(read || mayHaveRun.length <= 1, "a write is not sent again after it may have run");
        assert.equal(new Set(attempts.map(attempt => attempt.requestId)).size, attempts.length, "ids are not reused");
    }
    for (const request of fixture.requests) {
        assert.ok(
            request.deadlineMs === statements.get(Number(request.text))!.deadlineMs,
            "the deadline is not extended",
        );
    }
}
