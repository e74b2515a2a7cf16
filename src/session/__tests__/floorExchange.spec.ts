import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FleetKind } from "../../model/fleetMessages.ts";
import { type FloorQuestion, type FloorResult, type PeerInstance, PeerKind } from "../../model/peerMessages.ts";
import { TaskMode } from "../../model/sessionStatement.ts";
import { emptyTrafficPolicy } from "../../model/trafficPolicy.ts";
import type { Message } from "../../pipeline/message.ts";
import { FloorExchange } from "../floorExchange.ts";
import { TaskKind } from "../taskMessages.ts";
import { position } from "./sessionFixture.ts";

type Fields = Record<string, unknown>;

const instances: readonly PeerInstance[] = ["a", "b", "c", "d"].map(name => ({
    instanceId: name,
    address: `${name}:1`,
    dataCentre: name === "d" ? "dc2" : "dc1",
}));

const wanted = { service: "s1", workspace: "w", maximumProofAgeMs: 600 };

class FloorExchangeFixture {
    private readonly filter: FloorExchange;

    constructor(instanceId: string) {
        this.filter = new FloorExchange({ instanceId, dataCentre: "dc1" });
        const services = ["s0", "s1", "s2"].map(name => ({ name, connectionLimit: 9, synchronousReplicas: 1 }));
        const policy = { ...emptyTrafficPolicy, services: new Map(services.map(service => [service.name, service])) };
        this.push(0, {
            kind: FleetKind.PolicyApplied,
            policy,
            confirmed: true,
            promoted: new Map(),
            ordered: new Map(),
            completedFences: new Map(),
        });
        this.push(0, { kind: PeerKind.InstancesKnown, instances });
    }

    push(nowMs: number, message: Fields): readonly Fields[] {
        return this.filter.process(message as unknown as never, nowMs) as unknown as readonly Fields[];
    }

    requestFloor(nowMs: number): readonly Fields[] {
        return this.push(nowMs, { kind: TaskKind.FloorWanted, ...wanted });
    }

    receiveQuestion(nowMs: number, questionId: string, maximumProofAgeMs = 600): readonly Fields[] {
        const question: FloorQuestion = { kind: "floor", questionId, service: "s1", workspace: "w", maximumProofAgeMs };
        return this.push(nowMs, { kind: PeerKind.Asked, streamId: "w0", question });
    }

    receiveAnswer(nowMs: number, parts: Partial<FloorResult>): readonly Fields[] {
        const result = { kind: "floor", questionId: "f0", position: undefined, proofAgeMs: 0, ...parts };
        return this.push(nowMs, { kind: PeerKind.Answered, address: "b:1", result });
    }

    reportAttempt(nowMs: number, sentMs: number, parts: Fields = {}): readonly Fields[] {
        const task = { taskId: "p0", service: "s1", mode: TaskMode.Probe, needsPrimary: true };
        const reply = { position: position(1, 7) };
        return this.push(nowMs, { kind: TaskKind.Attempted, task, reply, leads: true, sentMs, ...parts });
    }
}

function kindsOf(messages: readonly Message[] | readonly Fields[]): readonly unknown[] {
    return messages.map(message => (message as Message).kind);
}

describe("floor exchange", () => {
    it("computes the age of a received position from the sending of the question, by the local clock", () => {
        // Guards against stale reads after a slow answer.
        const fixture = new FloorExchangeFixture("a");
        assert.deepEqual(kindsOf(fixture.requestFloor(1_000)), [PeerKind.Send, "deadline.set"]);
        const messages = fixture.receiveAnswer(1_200, { position: position(1, 7), proofAgeMs: 300 });
        assert.deepEqual(messages.at(-1), {
            kind: TaskKind.FloorLearned,
            service: "s1",
            sample: { position: position(1, 7), atMs: 700 },
        });
    });

    it("answers at once with a position that is recent enough, with its age at the arrival of the question", () => {
        const fixture = new FloorExchangeFixture("b");
        fixture.reportAttempt(120, 100);
        const [answer] = fixture.receiveQuestion(400, "f7");
        assert.deepEqual(answer!["result"], {
            kind: "floor",
            questionId: "f7",
            position: position(1, 7),
            proofAgeMs: 300,
        });
        assert.deepEqual(kindsOf(fixture.receiveQuestion(400, "f8", 299)), [TaskKind.FloorProbeWanted]);
    });

    it("answers several questions with one probe, but none with a position that is too old for it", () => {
        const fixture = new FloorExchangeFixture("b");
        assert.deepEqual(kindsOf(fixture.receiveQuestion(1_000, "f1")), [TaskKind.FloorProbeWanted]);
        assert.deepEqual(fixture.receiveQuestion(1_010, "f2", 0), []);
        const early = fixture.reportAttempt(1_015, 1_005, {
            task: { taskId: "t0", service: "s1", mode: TaskMode.Single },
        });
        assert.deepEqual(early.flatMap(({ result }) => (result as FloorResult | undefined)?.questionId ?? []), ["f1"]);
        // The probe was sent before the second question arrived, which accepts no older position.
        const [late] = fixture.reportAttempt(1_020, 1_005);
        assert.deepEqual(late!["result"], { kind: "floor", questionId: "f2", position: undefined, proofAgeMs: 0 });
    });

    it("answers waiting instances at once when the probe has failed", () => {
        const fixture = new FloorExchangeFixture("b");
        fixture.receiveQuestion(1_000, "f1");
        const [answer] = fixture.push(1_001, { kind: TaskKind.FloorProbeFailed, service: "s1" });
        assert.equal((answer!["result"] as FloorResult).position, undefined);
    });

    it("repeats a probe that has not ended in time", () => {
        // Guards against a service whose primary is never probed again.
        const fixture = new FloorExchangeFixture("b");
        assert.deepEqual(kindsOf(fixture.requestFloor(0)), [TaskKind.FloorProbeWanted]);
        assert.deepEqual(fixture.requestFloor(999), []);
        assert.deepEqual(kindsOf(fixture.requestFloor(1_000)), [TaskKind.FloorProbeWanted]);
    });

    it("uses a late answer that arrives after the next instance was asked, with the age from its own question", () => {
        const fixture = new FloorExchangeFixture("a");
        fixture.requestFloor(0);
        fixture.push(250, { kind: TaskKind.FloorDue, id: "f0" });
        const messages = fixture.receiveAnswer(300, { position: position(1, 7), proofAgeMs: 10 });
        assert.deepEqual(messages.at(-1)!["sample"], { position: position(1, 7), atMs: -10 });
        assert.deepEqual(fixture.receiveAnswer(310, { position: position(1, 7), proofAgeMs: 10 }), []);
    });

    for (
        const [name, makeFirstFail] of [
            [
                "does not answer",
                (fixture: FloorExchangeFixture) => fixture.push(250, { kind: TaskKind.FloorDue, id: "f0" }),
            ],
            [
                "disconnects",
                (fixture: FloorExchangeFixture) => fixture.push(20, { kind: PeerKind.Lost, address: "b:1" }),
            ],
            ["has no position", (fixture: FloorExchangeFixture) => fixture.receiveAnswer(20, {})],
        ] as const
    ) {
        it(`asks a second instance of the data centre when the first one ${name}, and then the primary`, () => {
            const fixture = new FloorExchangeFixture("a");
            assert.equal(fixture.requestFloor(0)[0]!["address"], "b:1");
            const second = makeFirstFail(fixture).find(({ kind }) => kind === PeerKind.Send);
            assert.equal(second!["address"], "c:1");
            assert.deepEqual(kindsOf(fixture.receiveAnswer(300, { questionId: "f1" })), [
                "deadline.clear",
                TaskKind.FloorProbeWanted,
            ]);
        });
    }

    it("probes the primary itself when it is the first instance of its data centre for the service", () => {
        assert.deepEqual(kindsOf(new FloorExchangeFixture("b").requestFloor(0)), [TaskKind.FloorProbeWanted]);
    });
});
