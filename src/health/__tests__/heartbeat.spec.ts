import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ClusterKind } from "../../model/clusterMessages.ts";
import { emptyConfiguration } from "../../model/configuration.ts";
import { ControlKind } from "../../model/controlMessages.ts";
import { HealthKind, type Heartbeat, type HeartbeatAnswer, type HeartbeatSend } from "../../model/healthMessages.ts";
import { ResourceKind } from "../../model/lease.ts";
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

class Sender {
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

    answered(sent: HeartbeatSend, nowMs: number, change: Partial<HeartbeatAnswer> | undefined): readonly Message[] {
        const { heartbeatId, peerAddress } = sent;
        const body = change === undefined ? undefined : { ...answer, ...change };
        return this.push({ kind: HealthKind.HeartbeatAnswered, heartbeatId, peerAddress, answer: body }, nowMs);
    }
}

function find(messages: readonly Message[], kind: string): object | undefined {
    return messages.find(message => message.kind === kind);
}

describe("heartbeat sender", () => {
    it("counts a lease and a proof from the sending of the heartbeat, not from its answer", () => {
        const sender = new Sender();
        sender.push(
            { kind: ClusterKind.ConfigurationApplied, configuration: { ...emptyConfiguration, version: 5 } },
            0,
        );
        const messages = sender.answered(sender.send(1_000), 1_350, {});
        const leases = [{ ...lease, instanceId: "i1", instanceAddress: "i1:1" }];
        assert.deepEqual(find(messages, ClusterKind.LeasesRenewed), {
            kind: ClusterKind.LeasesRenewed,
            leases,
            validUntilMs: 3_700,
            permitsUntilMs: 10_000,
        });
        const proved = { kind: ClusterKind.ConfigurationProved, version: 5, provedAtMs: 1_000 };
        assert.deepEqual(find(messages, ClusterKind.ConfigurationProved), proved);
    });

    it("proves nothing before the version in the answer is applied", () => {
        const sender = new Sender();
        const messages = sender.answered(sender.send(0), 10, {});
        assert.equal(find(messages, ClusterKind.ConfigurationProved), undefined);
        const applied = {
            kind: ClusterKind.ConfigurationApplied,
            configuration: { ...emptyConfiguration, version: 5 },
        };
        assert.ok(find(sender.push(applied, 20), ClusterKind.ConfigurationProved));
    });

    it("ignores a duplicated answer, an overtaken one and one of a replaced leader", () => {
        const sender = new Sender();
        const first = sender.send(0);
        const second = sender.send(100);
        assert.ok(sender.answered(second, 150, {}).length > 0);
        assert.deepEqual(sender.answered(second, 160, {}), []);
        assert.deepEqual(sender.answered(first, 170, {}), []);
        assert.deepEqual(sender.answered(sender.send(600), 610, { leaderTerm: 1 }), []);
    });

    it("takes up a lease that it gave back only in a later epoch, and reports it until then", () => {
        const sender = new Sender();
        sender.answered(sender.send(0), 10, {});
        const given = sender.push({ kind: "holder.lease_idle", databaseId: "d1" }, 20);
        assert.deepEqual(given.map(message => message.kind), [ClusterKind.LeasesRenewed, HealthKind.HeartbeatDue]);
        const sent = sender.send(20);
        assert.deepEqual(sent.heartbeat.givenBack, [lease]);
        assert.deepEqual(sent.heartbeat.leases, []);
        const late = find(sender.answered(sent, 30, {}), ClusterKind.LeasesRenewed) as { leases: unknown[]; };
        assert.deepEqual(late.leases, []);
        const next = sender.answered(sender.send(500), 510, { renewed: [{ ...lease, epoch: 2 }] });
        assert.equal((find(next, ClusterKind.LeasesRenewed) as { leases: unknown[]; }).leases.length, 1);
    });

    it("tries the control members in turn and follows the leader that one names", () => {
        const sender = new Sender();
        const first = sender.send(0);
        assert.equal(first.peerAddress, "c1");
        sender.answered(first, 400, undefined);
        const second = sender.send(500);
        assert.equal(second.peerAddress, "c2");
        sender.answered(second, 510, { leading: false, leaderAddress: "c3" });
        const third = sender.send(610);
        assert.equal(third.peerAddress, "c3");
        sender.answered(third, 1_010, undefined);
        assert.equal(sender.send(1_110).peerAddress, "c3", "the next member in turn after c2");
    });
});

describe("leader office", () => {
    const heartbeat = { instanceId: "i1", incarnation: "a" } as Heartbeat;
    const beat = (office: Leadership, nowMs: number, incarnation = "a"): string => {
        const received = { kind: HealthKind.HeartbeatReceived, callId: "c", heartbeat: { ...heartbeat, incarnation } };
        return office.process(received as Message, nowMs)[0]!.kind;
    };
    const leading = { kind: ControlKind.LeaderChanged, leading: true, term: 1 } as unknown as Message;
    const tick = { kind: HealthKind.LeaderTickDue, term: 1 } as Message;

    // A leader that was stopped may have been replaced, and must not renew leases that its successor reassigns.
    it("answers nothing for 1.1 s after its process stood still", () => {
        const office = new Leadership();
        office.process(leading, 0);
        assert.equal(beat(office, 100), HealthKind.HeartbeatChecked);
        assert.equal(beat(office, 5_000), HealthKind.HeartbeatReply);
        for (let nowMs = 5_000; nowMs < 6_100; nowMs += 100) {
            assert.ok(!office.process(tick, nowMs).some(message => message.kind === HealthKind.LeaderTicked));
            assert.equal(beat(office, nowMs + 99), HealthKind.HeartbeatReply);
        }
        office.process(tick, 6_100);
        assert.equal(beat(office, 6_101), HealthKind.HeartbeatChecked);
    });

    it("renews nothing for a process whose successor has been heard", () => {
        const office = new Leadership();
        office.process(leading, 0);
        assert.equal(beat(office, 10, "a"), HealthKind.HeartbeatChecked);
        assert.equal(beat(office, 20, "b"), HealthKind.HeartbeatChecked);
        assert.equal(beat(office, 30, "a"), HealthKind.HeartbeatReply);
    });
});
