import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ClusterKind } from "../../model/clusterMessages.ts";
import { emptyConfiguration } from "../../model/configuration.ts";
import { type AssignLeases, CommandKind, ControlKind, type ControlPropose } from "../../model/controlMessages.ts";
import { type DatabaseAnnouncement, type DatabaseGroup, DatabaseRole } from "../../model/database.ts";
import { HealthKind, type HeartbeatReply, type HeartbeatSend, HolderHealthKind } from "../../model/healthMessages.ts";
import { heartbeatIntervalMs, type LeaseAssignment, ResourceKind } from "../../model/lease.ts";
import type { Message } from "../../pipeline/message.ts";
import { Pipe } from "../../pipeline/pipe.ts";
import { encodeAnnouncement } from "../../rpc/announcementCodec.ts";
import { AnnounceRequest } from "../../rpc/generated/announcement.ts";
import { HeartbeatRequest, HeartbeatResponse } from "../../rpc/generated/health.ts";
import { encodeHeartbeat, encodeHeartbeatAnswer } from "../../rpc/heartbeatCodec.ts";
import { DatabaseDirectory } from "../databaseDirectory.ts";
import { Failover } from "../failover.ts";
import { HeartbeatReplier } from "../heartbeatReplier.ts";
import { HeartbeatSender } from "../heartbeatSender.ts";
import { Leadership } from "../leadership.ts";
import { LeaseAssigner } from "../leaseAssigner.ts";

const instanceCount = 470;
const groupCount = 220;
const dataCentreCount = 7;
/**
 * Estimate of the HTTP/2 frames, compressed headers with the authentication, TCP and IP headers of one call:
 * 250 bytes for the request and 150 for the answer.
 */
const callOverheadBytes = 400;

const instanceIds = Array.from({ length: instanceCount }, (_, index) => `instance-${index}`);
const dataCentre = (index: number): string => `data-centre-${index % dataCentreCount}`;

const announcements: readonly DatabaseAnnouncement[] = Array.from({ length: groupCount * 3 }, (_, index) => ({
    databaseId: `database-${index}`,
    groupId: `group-${Math.floor(index / 3)}`,
    service: `service-${Math.floor(index / 3)}`,
    dataCentre: dataCentre(index),
    address: `10.11.${index >> 8}.${index % 256}:3306`,
    slots: 3,
    connectionLimit: 20,
    role: index % 3 === 0 ? DatabaseRole.Primary : DatabaseRole.Replica,
    position: { term: 3, offset: 1_000_000_000 + index },
    groupSize: 3,
    departing: false,
}));

/** Simulated cluster that applies proposals at once and counts the bytes sent between the instances and the leader. */
class MeasuredCluster {
    readonly sentBytes = new Map<string, number>();
    private configuration = emptyConfiguration;
    private readonly leader = new Pipe("health", [
        new Leadership(),
        new DatabaseDirectory(),
        new LeaseAssigner({ incarnation: "leader" }),
        new Failover(),
        new HeartbeatReplier(),
    ]);
    private readonly senderPipes = new Map(instanceIds.map((instanceId, index) => {
        const options = {
            instanceId,
            address: `10.10.${index >> 8}.${index % 256}:7000`,
            incarnation: `${index}abcdef01`,
        };
        const sender = new HeartbeatSender({ ...options, dataCentre: dataCentre(index), controlAddresses: ["leader"] });
        return [instanceId, new Pipe("health", [sender])];
    }));
    private nowMs = 0;

    constructor() {
        this.pushToLeader(
            { kind: ControlKind.LeaderChanged, leading: true, term: 7, leaderAddress: "leader" } as Message,
        );
    }

    /** Sends one heartbeat of every instance, after each database announced itself to its usual instance. */
    runRound(): void {
        this.nowMs += heartbeatIntervalMs;
        for (let tickOffsetMs = 400; tickOffsetMs >= 0; tickOffsetMs -= 100) {
            this.pushToLeader({ kind: HealthKind.LeaderTickDue, term: 7 } as Message, this.nowMs - tickOffsetMs);
        }
        announcements.forEach((announcement, index) => {
            const receiver = instanceIds[(index * 7) % instanceCount]!;
            this.pushToInstance(receiver, { kind: ClusterKind.DatabaseAnnounced, announcement } as Message);
        });
        const applied = { kind: ClusterKind.ConfigurationApplied, configuration: this.configuration } as Message;
        instanceIds.forEach(instanceId => {
            this.pushToInstance(instanceId, applied);
            this.pushToInstance(instanceId, { kind: HealthKind.HeartbeatDue });
        });
    }

    private pushToInstance(instanceId: string, message: Message): void {
        for (const output of this.senderPipes.get(instanceId)!.process(message, this.nowMs)) {
            if (output.kind === HealthKind.HeartbeatSend) {
                this.exchangeHeartbeat(instanceId, output as HeartbeatSend);
            }
        }
    }

    private exchangeHeartbeat(instanceId: string, { heartbeat, heartbeatId }: HeartbeatSend): void {
        const replies = this.pushToLeader({ kind: HealthKind.HeartbeatReceived, callId: "", heartbeat } as Message);
        const answer = (replies.find(reply => reply.kind === HealthKind.HeartbeatReply) as HeartbeatReply).answer;
        const bytes = HeartbeatRequest.encode(encodeHeartbeat(heartbeat)).finish().length
            + HeartbeatResponse.encode(encodeHeartbeatAnswer(answer)).finish().length;
        this.sentBytes.set(instanceId, bytes + callOverheadBytes);
        const answered = { kind: HealthKind.HeartbeatAnswered, heartbeatId, peerAddress: "leader", answer };
        this.pushToInstance(instanceId, answered as Message);
        for (const { resource, resourceId } of answer.renewed) {
            const probe = { databaseId: resourceId, reachable: true, consecutiveFailures: 0 };
            const position = { lastPosition: { term: 3, offset: 1_000_000_000 }, lastPositionAtMs: this.nowMs };
            if (resource === ResourceKind.Database) {
                this.pushToInstance(
                    instanceId,
                    { kind: HolderHealthKind.DatabaseHealth, ...probe, ...position } as Message,
                );
            }
        }
    }

    private pushToLeader(message: Message, nowMs = this.nowMs): readonly Message[] {
        const outputs = this.leader.process(message, nowMs);
        outputs.filter(output => output.kind === ControlKind.Propose).forEach(output => {
            this.applyProposal(output as ControlPropose, nowMs);
        });
        return outputs;
    }

    private applyProposal({ proposalId, command }: ControlPropose, nowMs: number): void {
        const groups: DatabaseGroup[] = command.kind === CommandKind.SetGroup ? [command.group] : [];
        const leases: readonly LeaseAssignment[] = command.kind === CommandKind.AssignLeases
            ? (command as AssignLeases).assignments
            : [];
        const version = this.configuration.version + 1;
        this.configuration = {
            ...this.configuration,
            version,
            groups: [...this.configuration.groups, ...groups],
            leases: [...this.configuration.leases, ...leases],
        };
        const applied = { kind: ClusterKind.ConfigurationApplied, configuration: this.configuration } as Message;
        this.pushToLeader(applied, nowMs);
        this.pushToLeader(
            {
                kind: ControlKind.ProposalEnded,
                proposalId,
                status: "applied",
                configurationVersion: version,
            } as Message,
            nowMs,
        );
    }
}

describe("control traffic at 470 instances and 660 databases", () => {
    const cluster = new MeasuredCluster();
    for (let round = 0; round < 20; round++) {
        cluster.runRound();
    }
    const heartbeatsPerSecond = 1_000 / heartbeatIntervalMs;
    const bytes = [...cluster.sentBytes.values()].map(heartbeatBytes => heartbeatBytes * heartbeatsPerSecond);
    const announcementBytes = announcements.slice(0, 1).map(announcement =>
        AnnounceRequest.encode({ ...encodeAnnouncement(announcement), cluster: "cluster" }).finish().length
    )[0]!;

    // Heartbeats with full lists instead of changes would take about 140 KB/s per instance.
    it("stays under 3 KB/s at an instance without changes, including announcements", t => {
        const announcementRate = announcements.length / instanceCount * heartbeatsPerSecond
            * (announcementBytes + callOverheadBytes);
        const mean = bytes.reduce((sum, each) => sum + each, 0) / bytes.length;
        const largest = Math.max(...bytes);
        t.diagnostic(
            `heartbeats: mean ${mean} B/s, largest ${largest} B/s; announcements: mean ${announcementRate} B/s`,
        );
        t.diagnostic(`leader: ${Math.round(mean * instanceCount / 1_000)} KB/s`);
        assert.ok(mean + announcementRate <= 3_000, `${mean} + ${announcementRate} bytes/s`);
    });

    it("makes the leader's traffic grow with the number of instances only", () => {
        const leaderBytes = bytes.reduce((sum, each) => sum + each, 0);
        assert.ok(leaderBytes < 2_000 * instanceCount, `${leaderBytes} bytes/s`);
    });
});
