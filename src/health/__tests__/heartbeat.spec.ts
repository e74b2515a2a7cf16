import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ClusterKind } from "../../model/clusterMessages.ts";
import { emptyConfiguration } from "../../model/configuration.ts";
import { ControlKind } from "../../model/controlMessages.ts";
import { HealthKind, type Heartbeat, type HeartbeatAnswer, type HeartbeatSend } from "../../model/healthMessages.ts";
import { reassignAfterMs, ResourceKind } from "../../model/lease.ts";
import type { Message } from "../../pipeline/message.ts";
import { HeartbeatSender } from "../heartbeatSender.ts";
import { Leadership } from "../leadership.ts";

const lease = { resource: ResourceKind.Database, resourceId: "d1", epoch: 1 };

const answer: HeartbeatAnswer = {
    leading: true,
    leaderAddress: undefined,
    leaderTerm: 2,
    configurationVersion: 5,
    renewed: [lease],
    directoryRevision: 0,
    directory: [],
    asks: [],
    releases: [],
    orders: [],
    resend: [],
    nextHeartbeatMs: 500,
};

class SenderFixture {
    private readonly filter = new HeartbeatSender({
        instanceId: "i1",
        address: "i1:1",
        dataCentre: "north",
        incarnation: "a",
        controlAddresses: ["c1", "c2", "c3"],
    });

    push(message: object, nowMs: number): readonly Message[] {
        return this.filter.process(message as Message, nowMs);
    }

    send(nowMs: number): HeartbeatSend {
        return this.push({ kind: HealthKind.HeartbeatDue }, nowMs)[0] as HeartbeatSend;
    }

    receiveAnswer(
        sent: HeartbeatSend,
        nowMs: number,
        overrides: Partial<HeartbeatAnswer> | undefined,
    ): readonly Message[] {
        const { heartbeatId, peerAddress } = sent;
        const body = overrides === undefined ? undefined : { ...answer, ...overrides };
        return this.push({ kind: HealthKind.HeartbeatAnswered, heartbeatId, peerAddress, answer: body }, nowMs);
    }
}

function findByKind(messages: readonly Message[], kind: string): object | undefined {
    return messages.find(message => message.kind === kind);
}

describe("heartbeat sender", () => {
    it("counts leases and configuration proofs from the sending of the heartbeat, not from its answer", () => {
        const sender = new SenderFixture();
        sender.push(
            { kind: ClusterKind.ConfigurationApplied, configuration: { ...emptyConfiguration, version: 5 } },
            0,
        );
        const messages = sender.receiveAnswer(sender.send(1_000), 1_350, {});
        const leases = [{ ...lease, instanceId: "i1", instanceAddress: "i1:1" }];
        assert.deepEqual(findByKind(messages, ClusterKind.LeasesRenewed), {
            kind: ClusterKind.LeasesRenewed,
            leases,
            validUntilMs: 3_700,
            permitsUntilMs: 10_000,
        });
        const proved = { kind: ClusterKind.ConfigurationProved, version: 5, provedAtMs: 1_000 };
        assert.deepEqual(findByKind(messages, ClusterKind.ConfigurationProved), proved);
    });

    it("reports no configuration as proved before the version in the answer is applied", () => {
        const sender = new SenderFixture();
        const messages = sender.receiveAnswer(sender.send(0), 10, {});
        assert.equal(findByKind(messages, ClusterKind.ConfigurationProved), undefined);
        const applied = {
            kind: ClusterKind.ConfigurationApplied,
            configuration: { ...emptyConfiguration, version: 5 },
        };
        assert.ok(findByKind(sender.push(applied, 20), ClusterKind.ConfigurationProved));
    });

    it("ignores a duplicate answer, one that arrives after a later one, and one of a replaced leader", () => {
        const sender = new SenderFixture();
        const first = sender.send(0);
        const second = sender.send(100);
        assert.ok(sender.receiveAnswer(second, 150, {}).length > 0);
        assert.deepEqual(sender.receiveAnswer(second, 160, {}), []);
        assert.deepEqual(sender.receiveAnswer(first, 170, {}), []);
        assert.deepEqual(sender.receiveAnswer(sender.send(600), 610, { leaderTerm: 1 }), []);
    });

    it("renews a given-back lease only in a later epoch, and reports it as given back until then", () => {
        const sender = new SenderFixture();
        sender.receiveAnswer(sender.send(0), 10, {});
        const outputs = sender.push({ kind: "holder.lease_idle", databaseId: "d1" }, 20);
        assert.deepEqual(outputs.map(message => message.kind), [ClusterKind.LeasesRenewed, HealthKind.HeartbeatDue]);
        const sent = sender.send(20);
        assert.deepEqual(sent.heartbeat.givenBack, [lease]);
        assert.deepEqual(sent.heartbeat.leases, []);
        const lateRenewal = findByKind(sender.receiveAnswer(sent, 30, {}), ClusterKind.LeasesRenewed) as {
            leases: unknown[];
        };
        assert.deepEqual(lateRenewal.leases, []);
        const next = sender.receiveAnswer(sender.send(500), 510, { renewed: [{ ...lease, epoch: 2 }] });
        assert.equal((findByKind(next, ClusterKind.LeasesRenewed) as { leases: unknown[]; }).leases.length, 1);
    });

    it("tries the control members in turn and sends to the leader that one of them names", () => {
        const sender = new SenderFixture();
        const first = sender.send(0);
        assert.equal(first.peerAddress, "c1");
        sender.receiveAnswer(first, 400, undefined);
        const second = sender.send(500);
        assert.equal(second.peerAddress, "c2");
        sender.receiveAnswer(second, 510, { leading: false, leaderAddress: "c3" });
        const third = sender.send(610);
        assert.equal(third.peerAddress, "c3");
        sender.receiveAnswer(third, 1_010, undefined);
        assert.equal(sender.send(1_110).peerAddress, "c3", "the next member in turn after c2");
    });
});

describe("leadership", () => {
    const heartbeat = { instanceId: "i1", incarnation: "a" } as Heartbeat;
    const processHeartbeat = (leadership: Leadership, nowMs: number, incarnation = "a"): string => {
        const received = { kind: HealthKind.HeartbeatReceived, callId: "c", heartbeat: { ...heartbeat, incarnation } };
        return leadership.process(received as Message, nowMs)[0]!.kind;
    };
    const leading = { kind: ControlKind.LeaderChanged, leading: true, term: 1 } as unknown as Message;
    const tick = { kind: HealthKind.LeaderTickDue, term: 1 } as Message;

    // A leader that was suspended may have been replaced, and must not renew leases that its successor reassigns.
    it("rejects heartbeats for 1.1 s after its process was suspended", () => {
        const leadership = new Leadership();
        leadership.process(leading, 0);
        assert.equal(processHeartbeat(leadership, 100), HealthKind.HeartbeatChecked);
        assert.equal(processHeartbeat(leadership, 5_000), HealthKind.HeartbeatReply);
        for (let nowMs = 5_000; nowMs < 6_100; nowMs += 100) {
            assert.ok(!leadership.process(tick, nowMs).some(message => message.kind === HealthKind.LeaderTicked));
            assert.equal(processHeartbeat(leadership, nowMs + 99), HealthKind.HeartbeatReply);
        }
        leadership.process(tick, 6_100);
        assert.equal(processHeartbeat(leadership, 6_101), HealthKind.HeartbeatChecked);
    });

    it("renews nothing for a process after a heartbeat of its successor", () => {
        const leadership = new Leadership();
        leadership.process(leading, 0);
        assert.equal(processHeartbeat(leadership, 10, "a"), HealthKind.HeartbeatChecked);
        assert.equal(processHeartbeat(leadership, 20, "b"), HealthKind.HeartbeatChecked);
        assert.equal(processHeartbeat(leadership, 30, "a"), HealthKind.HeartbeatReply);
    });

    // Guards against a process that gets no lease for the rest of a term, because it was taken for its predecessor.
    it("hears a process again that a late heartbeat of its predecessor seemed to replace", () => {
        const leadership = new Leadership();
        leadership.process(leading, 0);
        assert.equal(processHeartbeat(leadership, 10, "b"), HealthKind.HeartbeatChecked);
        assert.equal(processHeartbeat(leadership, 20, "a"), HealthKind.HeartbeatChecked);
        for (let nowMs = 100; nowMs < 4_000; nowMs += 100) {
            leadership.process(tick, nowMs);
            // The leases of the predecessor end first.
            const expected = nowMs < 20 + reassignAfterMs ? HealthKind.HeartbeatReply : HealthKind.HeartbeatChecked;
            assert.equal(processHeartbeat(leadership, nowMs, "b"), expected);
        }
        assert.equal(processHeartbeat(leadership, 4_000, "a"), HealthKind.HeartbeatReply);
    });
});
