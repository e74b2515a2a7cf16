import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FleetKind } from "../../model/fleetMessages.ts";
import { type FloorQuestion, type FloorResult, type PeerInstance, PeerKind } from "../../model/peerMessages.ts";
import { emptyTrafficPolicy } from "../../model/trafficPolicy.ts";
import type { Message } from "../../pipeline/message.ts";
import { FloorExchange } from "../floorExchange.ts";
import { TaskKind, TaskMode } from "../taskMessages.ts";
import { position } from "./sessionFixture.ts";

type Fields = Record<string, unknown>;

const instances: readonly PeerInstance[] = ["a", "b", "c", "d"].map(name => ({
    instanceId: name,
    address: `${name}:1`,
    dataCentre: name === "d" ? "dc2" : "dc1",
}));

const wanted = { service: "s1", workspace: "w", maximumProofAgeMs: 600 };

class Fixture {
    private readonly filter: FloorExchange;

    constructor(instanceId: string) {
        this.filter = new FloorExchange({ instanceId, dataCentre: "dc1" });
        const services = ["s0", "s1", "s2"].map(name => ({ name, connectionLimit: 9, synchronousReplicas: 1 }));
        const policy = { ...emptyTrafficPolicy, services: new Map(services.map(service => [service.name, service])) };
        this.push(0, { kind: FleetKind.PolicyApplied, policy, confirmed: true, promoted: new Map() });
        this.push(0, { kind: PeerKind.InstancesKnown, instances });
    }

    push(nowMs: number, message: Fields): readonly Fields[] {
        return this.filter.process(message as unknown as never, nowMs) as unknown as readonly Fields[];
    }

    want(nowMs: number): readonly Fields[] {
        return this.push(nowMs, { kind: TaskKind.FloorWanted, ...wanted });
    }

    ask(nowMs: number, questionId: string, maximumProofAgeMs = 600): readonly Fields[] {
        const question: FloorQuestion = { kind: "floor", questionId, service: "s1", workspace: "w", maximumProofAgeMs };
        return this.push(nowMs, { kind: PeerKind.Asked, streamId: "w0", question });
    }

    answer(nowMs: number, parts: Partial<FloorResult>): readonly Fields[] {
        const result = { kind: "floor", questionId: "f0", position: undefined, proofAgeMs: 0, ...parts };
        return this.push(nowMs, { kind: PeerKind.Answered, address: "b:1", result });
    }

    attempt(nowMs: number, sentMs: number, parts: Fields = {}): readonly Fields[] {
        const task = { taskId: "p0", service: "s1", mode: TaskMode.Probe };
        const reply = { position: position(1, 7) };
        return this.push(nowMs, { kind: TaskKind.Attempted, task, reply, leads: true, sentMs, ...parts });
    }
}

function kindsOf(messages: readonly Message[] | readonly Fields[]): readonly unknown[] {
    return messages.map(message => (message as Message).kind);
}

describe("questions for positions inside a data centre", () => {
    it("count the age of a proof from the time of the question, by the asker's own clock", () => {
        // Guards against a stale read after a slow answer.
        const fixture = new Fixture("a");
        assert.deepEqual(kindsOf(fixture.want(1_000)), [PeerKind.Send, "deadline.set"]);
        const messages = fixture.answer(1_200, { position: position(1, 7), proofAgeMs: 300 });
        assert.deepEqual(messages.at(-1), {
            kind: TaskKind.FloorLearned,
            service: "s1",
            sample: { position: position(1, 7), atMs: 700 },
        });
    });

    it("are answered with the age that the proof had when they arrived, and at once while it is young enough", () => {
        const fixture = new Fixture("b");
        fixture.attempt(120, 100);
        const [answer] = fixture.ask(400, "f7");
        assert.deepEqual(answer!["result"], {
            kind: "floor",
            questionId: "f7",
            position: position(1, 7),
            proofAgeMs: 300,
        });
        assert.deepEqual(kindsOf(fixture.ask(400, "f8", 299)), [TaskKind.FloorProbeWanted]);
    });

    it("wait for one probe together, and take no proof from before they may", () => {
        const fixture = new Fixture("b");
        assert.deepEqual(kindsOf(fixture.ask(1_000, "f1")), [TaskKind.FloorProbeWanted]);
        assert.deepEqual(fixture.ask(1_010, "f2", 0), []);
        const early = fixture.attempt(1_015, 1_005, { task: { taskId: "t0", service: "s1", mode: TaskMode.Single } });
        assert.deepEqual(early.flatMap(({ result }) => (result as FloorResult | undefined)?.questionId ?? []), ["f1"]);
        // The probe was sent before the second question arrived.
        const [late] = fixture.attempt(1_020, 1_005);
        assert.deepEqual(late!["result"], { kind: "floor", questionId: "f2", position: undefined, proofAgeMs: 0 });
    });

    it("are told at once that the primary proved nothing", () => {
        const fixture = new Fixture("b");
        fixture.ask(1_000, "f1");
        const [answer] = fixture.push(1_001, { kind: TaskKind.FloorProbeFailed, service: "s1" });
        assert.equal((answer!["result"] as FloorResult).position, undefined);
    });

    it("begin a probe again that did not end", () => {
        // Guards against a service that is never asked again.
        const fixture = new Fixture("b");
        assert.deepEqual(kindsOf(fixture.want(0)), [TaskKind.FloorProbeWanted]);
        assert.deepEqual(fixture.want(999), []);
        assert.deepEqual(kindsOf(fixture.want(1_000)), [TaskKind.FloorProbeWanted]);
    });

    it("use an answer that comes after the next instance was asked, with the age of its own question", () => {
        const fixture = new Fixture("a");
        fixture.want(0);
        fixture.push(250, { kind: TaskKind.FloorDue, id: "f0" });
        const messages = fixture.answer(300, { position: position(1, 7), proofAgeMs: 10 });
        assert.deepEqual(messages.at(-1)!["sample"], { position: position(1, 7), atMs: -10 });
        assert.deepEqual(fixture.answer(310, { position: position(1, 7), proofAgeMs: 10 }), []);
    });

    for (
        const [name, fail] of [
            ["is silent", (fixture: Fixture) => fixture.push(250, { kind: TaskKind.FloorDue, id: "f0" })],
            ["is gone", (fixture: Fixture) => fixture.push(20, { kind: PeerKind.Lost, address: "b:1" })],
            ["knows none", (fixture: Fixture) => fixture.answer(20, {})],
        ] as const
    ) {
        it(`go to a second instance of the data centre when the first one ${name}, and then to the primary`, () => {
            const fixture = new Fixture("a");
            assert.equal(fixture.want(0)[0]!["address"], "b:1");
            const second = fail(fixture).find(({ kind }) => kind === PeerKind.Send);
            assert.equal(second!["address"], "c:1");
            assert.deepEqual(kindsOf(fixture.answer(300, { questionId: "f1" })), [
                "deadline.clear",
                TaskKind.FloorProbeWanted,
            ]);
        });
    }

    it("never leave the data centre, and are not asked of itself", () => {
        assert.deepEqual(kindsOf(new Fixture("b").want(0)), [TaskKind.FloorProbeWanted]);
    });
});
