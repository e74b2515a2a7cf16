/**
 * The heartbeats of one instance. Each carries only what changed: with 470 instances and 660 databases a heartbeat of
 * a quiet instance and its answer have about 220 encoded bytes together, every 500 ms, which makes 103 KB/s of encoded
 * bytes at the leader (`__tests__/traffic.spec.ts` computes the figures at full size).
 */
import { match } from "ts-pattern";
import {
    ClusterKind,
    type ConfigurationApplied,
    type ConfigurationProved,
    type DatabaseAnnounced,
    type DrainStarted,
    type LeasesRenewed,
} from "../model/clusterMessages.ts";
import {
    type DatabaseHealth,
    type DirectoryReceived,
    HealthKind,
    type HeartbeatAnswer,
    type HeartbeatAnswered,
    type HeartbeatSend,
    HolderHealthKind,
    type HolderLeaseIdle,
    type HolderOrderDone,
    type LeaseRelease,
    type ReleaseLease,
} from "../model/healthMessages.ts";
import { heartbeatIntervalMs, ResourceKind } from "../model/lease.ts";
import { type DemandBody, RateKind, type RatesDemandMeasured } from "../model/rateMessages.ts";
import { setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { HeardAnnouncements } from "./heardAnnouncements.ts";
import { HeartbeatTarget } from "./heartbeatTarget.ts";
import { HeldDatabases } from "./heldDatabases.ts";
import { leaseValidityMs, OwnLeases } from "./ownLeases.ts";
import { ReceivedOrders } from "./receivedOrders.ts";

/** Time after which another control member is tried; above the round trip between regions of 24 ms. */
const answerTimeoutMs = 400;
/** Pause after a member that does not lead, so that an election is not met with a storm of heartbeats. */
const retryMs = 100;
/** Lower bound of the interval that a leader may ask for. */
const shortestIntervalMs = 20;

export interface HeartbeatSenderOptions {
    readonly instanceId: string;
    /** `host:port` of this instance's gRPC listener. */
    readonly address: string;
    readonly dataCentre: string;
    /** Differs between two processes of one instance id. */
    readonly incarnation: string;
    /** `host:port` of the gRPC listeners of the control members, at least one. */
    readonly controlAddresses: readonly string[];
}

interface HeartbeatDue extends Message {
    readonly kind: typeof HealthKind.HeartbeatDue;
}

type Input =
    | ConfigurationApplied
    | DatabaseAnnounced
    | DatabaseHealth
    | DrainStarted
    | HeartbeatAnswered
    | HeartbeatDue
    | HolderLeaseIdle
    | HolderOrderDone
    | RatesDemandMeasured;

const heartbeatDue: HeartbeatDue = { kind: HealthKind.HeartbeatDue };

/** The first `health.heartbeat_due` is posted by the wiring. */
export class HeartbeatSender implements Filter {
    readonly step = "heartbeat_sender";
    readonly accepts = [
        ClusterKind.ConfigurationApplied,
        ClusterKind.DatabaseAnnounced,
        ClusterKind.DrainStarted,
        HealthKind.HeartbeatAnswered,
        HealthKind.HeartbeatDue,
        HolderHealthKind.DatabaseHealth,
        HolderHealthKind.LeaseIdle,
        HolderHealthKind.OrderDone,
        RateKind.DemandMeasured,
    ];
    private readonly options: HeartbeatSenderOptions;
    private readonly target: HeartbeatTarget;
    private readonly heard = new HeardAnnouncements();
    private readonly leases = new OwnLeases();
    private readonly held = new HeldDatabases();
    private readonly orders = new ReceivedOrders();
    private readonly releasing = new Set<string>();
    private sent: readonly { readonly message: HeartbeatSend; readonly atMs: number; }[] = [];
    private nextId = 1;
    private acceptedId = 0;
    private leaderTerm = 0;
    private directoryRevision = 0;
    private appliedVersion = 0;
    private unprovedAnswer: { readonly version: number; readonly sentAtMs: number; } | undefined;
    private draining = false;
    private demands: readonly DemandBody[] = [];

    constructor(options: HeartbeatSenderOptions) {
        this.options = options;
        this.target = new HeartbeatTarget(options.controlAddresses);
    }

    process(message: Message, nowMs: number): readonly Message[] {
        return match(message as Input)
            .with({ kind: ClusterKind.ConfigurationApplied }, applied => [applied, ...this.applied(applied)])
            .with({ kind: ClusterKind.DatabaseAnnounced }, announced => {
                this.heard.add(announced.announcement, nowMs);
                return [announced];
            })
            .with({ kind: ClusterKind.DrainStarted }, started => [started, ...this.drain(nowMs)])
            .with({ kind: HealthKind.HeartbeatAnswered }, answered => this.answered(answered, nowMs))
            .with({ kind: HealthKind.HeartbeatDue }, () => this.send(nowMs))
            .with(
                { kind: HolderHealthKind.DatabaseHealth },
                health => this.held.recordHealth(health) ? [heartbeatDue] : [],
            )
            .with(
                { kind: HolderHealthKind.LeaseIdle },
                ({ databaseId }) => this.giveBack(nowMs, ResourceKind.Database, databaseId),
            )
            .with({ kind: HolderHealthKind.OrderDone }, done => {
                this.orders.recordResult(done);
                return [heartbeatDue];
            })
            .with({ kind: RateKind.DemandMeasured }, ({ demands }) => {
                this.demands = demands;
                return [];
            })
            .exhaustive();
    }

    private applied({ configuration }: ConfigurationApplied): readonly Message[] {
        this.appliedVersion = configuration.version;
        this.leases.dropReplaced(configuration.leases);
        const waiting = this.unprovedAnswer;
        return waiting === undefined ? [] : this.prove(waiting.version, waiting.sentAtMs);
    }

    private drain(nowMs: number): readonly Message[] {
        this.draining = true;
        return this.giveBack(nowMs, ResourceKind.Permits);
    }

    /** Ends leases here before the leader can hear of it: the heartbeat follows the shorter list through the queue. */
    private giveBack(nowMs: number, resource: ResourceKind, resourceId?: string): readonly Message[] {
        if (resourceId !== undefined) {
            this.releasing.delete(resourceId);
        }
        const ended = this.leases.giveBack(lease =>
            lease.resource === resource && (resourceId === undefined || lease.resourceId === resourceId)
        );
        return ended ? [this.renewal(nowMs), heartbeatDue] : [];
    }

    private send(nowMs: number): readonly Message[] {
        // Demands are measured anew every second, so a lost heartbeat loses none for longer.
        const { demands } = this;
        this.demands = [];
        const message: HeartbeatSend = {
            kind: HealthKind.HeartbeatSend,
            heartbeatId: this.nextId++,
            peerAddress: this.target.address,
            timeoutMs: answerTimeoutMs,
            heartbeat: { ...this.heartbeat(nowMs), demands },
        };
        this.sent = [...this.sent.filter(entry => nowMs - entry.atMs < leaseValidityMs), { message, atMs: nowMs }];
        return [message, this.nextIn(heartbeatIntervalMs, nowMs)];
    }

    private heartbeat(nowMs: number): Omit<HeartbeatSend["heartbeat"], "demands"> {
        const { instanceId, address, dataCentre, incarnation } = this.options;
        const leases = this.leases.validAt(nowMs);
        return {
            instanceId,
            address,
            dataCentre,
            incarnation,
            configurationVersion: this.appliedVersion,
            directoryTerm: this.leaderTerm,
            directoryRevision: this.directoryRevision,
            draining: this.draining,
            ...this.heard.report(nowMs),
            leases,
            givenBack: this.leases.givenBack,
            held: this.held.reports(leases),
            orderResults: this.orders.completedResults(),
        };
    }

    private answered({ heartbeatId, peerAddress, answer }: HeartbeatAnswered, nowMs: number): readonly Message[] {
        const sent = this.sent.find(entry => entry.message.heartbeatId === heartbeatId);
        this.sent = this.sent.filter(entry => entry !== sent);
        if (answer === undefined || !answer.leading) {
            this.target.rejectPeer(peerAddress, answer?.leaderAddress);
            return [this.nextIn(retryMs, nowMs)];
        }
        // A duplicate, an answer overtaken by a later one, or the answer of a leader that has been replaced.
        if (sent === undefined || heartbeatId <= this.acceptedId || answer.leaderTerm < this.leaderTerm) {
            return [];
        }
        this.acceptedId = heartbeatId;
        this.target.confirmLeader(peerAddress);
        return this.accept(answer, sent.message, sent.atMs, nowMs);
    }

    private accept(answer: HeartbeatAnswer, sent: HeartbeatSend, sentAtMs: number, nowMs: number): readonly Message[] {
        this.followDirectory(answer, sent);
        // Before the renewal, which no longer lists a lease that is to be given back at once.
        const released = answer.releases.flatMap(release => this.release(release, nowMs));
        this.leases.renew(answer.renewed, sentAtMs);
        this.held.recordAsks(answer.asks, nowMs);
        const intervalMs = Math.max(shortestIntervalMs, Math.min(heartbeatIntervalMs, answer.nextHeartbeatMs));
        return [
            ...this.prove(answer.configurationVersion, sentAtMs),
            ...released,
            this.renewal(nowMs),
            ...receivedDirectory(answer),
            ...this.orders.update(answer.orders),
            this.nextIn(intervalMs, nowMs),
        ];
    }

    private followDirectory(answer: HeartbeatAnswer, sent: HeartbeatSend): void {
        if (answer.leaderTerm === this.leaderTerm) {
            this.heard.acknowledge(sent.heartbeat.heard);
        }
        else {
            this.heard.scheduleResendAll();
            this.releasing.clear();
        }
        this.heard.scheduleResend(answer.resend);
        this.leaderTerm = answer.leaderTerm;
        this.directoryRevision = answer.directoryRevision;
    }

    private release({ databaseId, atOnce }: LeaseRelease, nowMs: number): readonly Message[] {
        if (atOnce) {
            return this.giveBack(nowMs, ResourceKind.Database, databaseId);
        }
        if (this.releasing.has(databaseId)) {
            return [];
        }
        this.releasing.add(databaseId);
        const message: ReleaseLease = { kind: HealthKind.ReleaseLease, databaseId };
        return [message];
    }

    private prove(version: number, sentAtMs: number): readonly ConfigurationProved[] {
        const proved = this.appliedVersion >= version;
        this.unprovedAnswer = proved ? undefined : { version, sentAtMs };
        return proved ? [{ kind: ClusterKind.ConfigurationProved, version, provedAtMs: sentAtMs }] : [];
    }

    private renewal(nowMs: number): LeasesRenewed {
        const leases = this.leases.validAt(nowMs).map(lease => ({
            ...lease,
            instanceId: this.options.instanceId,
            instanceAddress: this.options.address,
        }));
        const { validUntilMs, permitsUntilMs } = this.leases;
        return { kind: ClusterKind.LeasesRenewed, leases, validUntilMs, permitsUntilMs };
    }

    private nextIn(intervalMs: number, nowMs: number): Message {
        return setDeadline("health.heartbeat", nowMs + intervalMs, heartbeatDue);
    }
}

function receivedDirectory({ directory }: HeartbeatAnswer): readonly DirectoryReceived[] {
    return directory.length > 0 ? [{ kind: HealthKind.DirectoryReceived, directory }] : [];
}
