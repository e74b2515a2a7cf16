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
} from "../../model/holderMessages.ts";
import { ResourceKind } from "../../model/lease.ts";
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

const done: Outcome = { kind: OutcomeKind.Done, affectedRows: 1, insertId: 0 };
const seed = 20_261_204;

function view(databaseId: string, role: DatabaseRole, epoch = 1): DatabaseView {
    return {
        databaseId,
        groupId: "g",
        service: "boards",
        dataCentre: "a",
        address: "",
        slots: 3,
        connectionLimit: 20,
        role,
        position: { term: 1, offset: 0 },
        groupSize: 3,
        available: true,
        holder: {
            resource: ResourceKind.Database,
            resourceId: databaseId,
            instanceId: "e1",
            instanceAddress: "",
            epoch,
        },
    };
}

const views = [view("p", DatabaseRole.Primary), view("r1", DatabaseRole.Replica), view("r2", DatabaseRole.Replica)];

class Fixture {
    readonly clock = new VirtualClock();
    readonly requests: HolderRequest[] = [];
    readonly floors: HolderFloorRequest[] = [];
    readonly answers: AnsweredRequest[] = [];
    /** What the fake holder said first of each attempt. */
    readonly firstWords = new Map<string, string>();
    readonly loop: EventLoop;
    private nextSequence = 0;

    constructor(databases: readonly DatabaseView[] = views) {
        const route = new RouteFilter({
            instanceId: "e1",
            incarnation: "i",
            dataCentre: "a",
            random: new SeededRandom(seed),
            tokenCodec: { encode: () => "token", decode: token => this.decode(token) },
        });
        const sink = {
            accepts: [HolderKind.Request, HolderKind.FloorRequest, RequestKind.Answered, RequestKind.Refused],
            deliver: (message: Message) => this.collect(message),
        };
        this.loop = new EventLoop({ clock: this.clock, pipes: [new Pipe("request", [route])], sinks: [sink] });
        this.post({ kind: ClusterKind.DatabasesChanged, databases });
    }

    post(message: Message & Record<string, unknown>): void {
        this.loop.post(message);
        this.clock.advanceTo(this.clock.nowMs());
    }

    send(statementKind: StatementKind, parts: Partial<AdmittedRequest> = {}): AdmittedRequest {
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
            ...parts,
        };
        this.post({ ...request });
        return request;
    }

    answer(request: HolderRequest, parts: Partial<HolderAnswer> = {}): void {
        const body = { outcome: done, written: undefined, inTransaction: false, pinned: false, ...parts };
        this.post({ kind: HolderKind.Answer, requestId: request.requestId, ...body });
    }

    refuse(request: HolderRequest, code: RefusalCode): void {
        this.answer(request, { outcome: { kind: OutcomeKind.Refused, refusal: refuse(code, "fake") } });
    }

    answerFloor(offset: number, currentAgeMs = 0): void {
        const { requestId, callerIds } = this.floors.at(-1)!;
        const position = { term: 1, offset };
        const floors = callerIds.map(() => position);
        this.post({ kind: HolderKind.FloorAnswer, requestId, floors, current: position, currentAgeMs });
    }

    code(): string {
        const outcome = this.answers.at(-1)?.outcome;
        return outcome?.kind === OutcomeKind.Refused ? outcome.refusal.code : outcome?.kind ?? "no answer";
    }

    private decode(
        token: string,
    ): { callerId: string; floors: Map<string, { term: number; offset: number; }>; } | undefined {
        const [callerId, offset] = token.split(":");
        return { callerId: callerId!, floors: new Map([["g", { term: 1, offset: Number(offset) }]]) };
    }

    private collect(message: Message): void {
        if (message.kind === HolderKind.Request) {
            this.requests.push(message as HolderRequest);
        }
        else if (message.kind === HolderKind.FloorRequest) {
            this.floors.push(message as HolderFloorRequest);
        }
        else {
            this.answers.push(message as AnsweredRequest);
        }
    }
}

describe("route", () => {
    it("gives a read the floor of its caller, asked after the read arrived", () => {
        const fixture = new Fixture();
        fixture.send(StatementKind.Read);
        assert.equal(fixture.requests.length, 0);
        fixture.answerFloor(7);
        assert.notEqual(fixture.requests[0]!.databaseId, "p");
        assert.deepEqual(fixture.requests[0]!.floor, { term: 1, offset: 7 });
    });

    it("does not let a question sent earlier answer for a read that arrived later", () => {
        const fixture = new Fixture();
        fixture.send(StatementKind.Read);
        fixture.send(StatementKind.Read, { connectionId: 2 });
        assert.equal(fixture.floors.length, 1);
        fixture.answerFloor(7);
        assert.equal(fixture.requests.length, 1);
        assert.equal(fixture.floors.length, 2);
        fixture.answerFloor(8);
        assert.deepEqual(fixture.requests[1]!.floor, { term: 1, offset: 8 });
    });

    it("raises the floor of a session that carries a token, and rejects another caller's token", () => {
        const fixture = new Fixture();
        const attributes = { workClass: undefined, requestId: undefined, maximumAgeMs: undefined };
        fixture.send(StatementKind.Read, { attributes: { ...attributes, sessionToken: "key-1:42" } });
        fixture.answerFloor(7);
        assert.deepEqual(fixture.requests[0]!.floor, { term: 1, offset: 42 });
        fixture.send(StatementKind.Read, { connectionId: 3, attributes: { ...attributes, sessionToken: "key-9:42" } });
        assert.equal(
            (fixture.answers.at(-1) as unknown as { refusal: { code: string; }; }).refusal.code,
            "malformed_attribute",
        );
    });

    it("never serves from a replica when no sample proves the stated age", () => {
        const fixture = new Fixture();
        fixture.send(StatementKind.Read, { targets: { ...defaultWorkClass, maximumAgeMs: 5 } });
        fixture.answerFloor(7, 50);
        assert.equal(fixture.requests[0]!.databaseId, "p");
    });

    it("sends a write to the primary once, whatever is lost afterwards", () => {
        const fixture = new Fixture();
        fixture.send(StatementKind.Write);
        const [request] = fixture.requests;
        const lost = { holderAddress: "", origin: undefined, requestIds: [request!.requestId] };
        fixture.post({ kind: HolderKind.StreamLost, ...lost });
        assert.equal(fixture.code(), RefusalCode.ConnectionLost);
        fixture.clock.advanceTo(100_000);
        assert.equal(fixture.requests.length, 1);
        fixture.answer(request!);
        assert.equal(fixture.answers.length, 1);
    });

    it("says that a transaction was rolled back when its connection ends before COMMIT, and unknown after", () => {
        for (
            const [kind, code] of [
                [StatementKind.Write, RefusalCode.TransactionLost],
                [StatementKind.Commit, RefusalCode.ConnectionLost],
            ] as const
        ) {
            const fixture = new Fixture();
            fixture.send(StatementKind.Begin);
            fixture.answer(fixture.requests[0]!, { inTransaction: true, pinned: true });
            fixture.send(kind);
            const requestIds = [fixture.requests[1]!.requestId];
            fixture.post({ kind: HolderKind.StreamLost, holderAddress: "", origin: undefined, requestIds });
            assert.equal(fixture.code(), code);
        }
    });

    it("keeps a pinned session on its database and ends it there when the caller leaves", () => {
        const fixture = new Fixture();
        fixture.send(StatementKind.Begin);
        fixture.answer(fixture.requests[0]!, { inTransaction: true, pinned: true });
        fixture.send(StatementKind.Read);
        assert.equal(fixture.requests[1]!.databaseId, "p");
        assert.equal(fixture.requests[1]!.pinned, true);
        assert.equal(fixture.floors.length, 0);
    });

    it("waits for a primary within the waiting target and refuses as not run after it", () => {
        const fixture = new Fixture(views.slice(1));
        fixture.send(StatementKind.Write);
        fixture.clock.advanceTo(1_000);
        fixture.post({ kind: ClusterKind.DatabasesChanged, databases: views });
        assert.equal(fixture.requests.length, 1);
        const late = new Fixture(views.slice(1));
        late.send(StatementKind.Write);
        late.clock.advanceTo(2_000);
        assert.equal(late.code(), RefusalCode.NoPrimary);
    });

    it("answers every statement once, repeats only what did not run or only reads, and stays within the target", () => {
        const event = fc.record({
            action: fc.constantFrom("send", "done", "not run", "unknown", "lost", "moved", "floor", "time"),
            read: fc.boolean(),
            pick: fc.nat(20),
        });
        fc.assert(
            fc.property(fc.array(event, { maxLength: 60 }), events => {
                const fixture = new Fixture();
                const sent = new Map<number, { read: boolean; deadlineMs: number; }>();
                let epoch = 1;
                for (const { action, read, pick } of events) {
                    const request = fixture.requests[pick % Math.max(1, fixture.requests.length)];
                    const connectionId = sent.size + 1;
                    if (action === "send") {
                        const kind = read ? StatementKind.Read : StatementKind.Write;
                        const targets = { ...defaultWorkClass, repeat: RepeatPolicy.Reads };
                        const { deadlineMs } = fixture.send(kind, {
                            connectionId,
                            targets,
                            text: String(connectionId),
                        });
                        sent.set(connectionId, { read, deadlineMs });
                    }
                    else if (action === "floor" && fixture.floors.length > 0) {
                        fixture.answerFloor(pick);
                    }
                    else if (action === "moved") {
                        epoch += 1;
                        const databases = views.map(each => view(each.databaseId, each.role, epoch));
                        fixture.post({ kind: ClusterKind.DatabasesChanged, databases });
                    }
                    else if (action === "time") {
                        fixture.clock.advanceTo(fixture.clock.nowMs() + pick * 20);
                    }
                    else if (request !== undefined) {
                        act(fixture, action, request);
                    }
                }
                fixture.clock.advanceTo(fixture.clock.nowMs() + 100_000);
                check(fixture, sent);
            }),
            { seed, numRuns: 500 },
        );
    });
});

function act(fixture: Fixture, action: string, request: HolderRequest): void {
    if (!fixture.firstWords.has(request.requestId)) {
        fixture.firstWords.set(request.requestId, action);
    }
    if (action === "done") {
        fixture.answer(request);
    }
    else if (action === "lost") {
        const lost = { holderAddress: "", origin: undefined, requestIds: [request.requestId] };
        fixture.post({ kind: HolderKind.StreamLost, ...lost });
    }
    else {
        fixture.refuse(request, action === "not run" ? RefusalCode.HolderUnavailable : RefusalCode.ConnectionLost);
    }
}

function check(fixture: Fixture, sent: ReadonlyMap<number, { read: boolean; deadlineMs: number; }>): void {
    const answered = fixture.answers.map(answer => answer.connectionId);
    assert.deepEqual([...answered].sort(), [...sent.keys()].sort(), "each statement has exactly one answer");
    for (const [connectionId, { read }] of sent) {
        const attempts = fixture.requests.filter(request => request.text === String(connectionId));
        const mayHaveRun = attempts.filter(attempt => fixture.firstWords.get(attempt.requestId) !== "not run");
        assert.ok(read || mayHaveRun.length <= 1, "a write is not sent again after it may have run");
        assert.equal(new Set(attempts.map(attempt => attempt.requestId)).size, attempts.length, "ids are not reused");
    }
    for (const request of fixture.requests) {
        assert.ok(request.deadlineMs === sent.get(Number(request.text))!.deadlineMs, "the target is not extended");
    }
}
