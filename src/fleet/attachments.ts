/**
 * The attaching side of attachments: tracks the attached control members and their leader, follows one member's list of
 * instances and requests the configuration again when this instance lags behind.
 */
import { match, P } from "ts-pattern";
import { ClusterKind, type ConfigurationApplied } from "../model/clusterMessages.ts";
import { FeedKind, type FeedResubscribe } from "../model/feedMessages.ts";
import {
    type Attached,
    type DatabaseSuspected,
    type Detached,
    type FleetDrainStarted,
    type FleetFrame,
    FleetKind,
    type FleetTimer,
    type FrameReceived,
} from "../model/fleetMessages.ts";
import { type InstancesKnown, PeerKind } from "../model/peerMessages.ts";
import { setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { KnownInstances } from "./knownInstances.ts";

/** Minimum interval between two reports that one database is suspected. */
const suspicionIntervalMs = 200;

/**
 * Time for which the applied configuration may lag behind a version that a member announced, before this instance
 * subscribes again at such a member unless an update is arriving. The feed takes about the one-way latency between data
 * centres.
 */
const lagLimitMs = 300;

/** Interval at which the lag of the configuration is checked while there is one. */
const lagCheckIntervalMs = 150;

/**
 * Time without a leader after which the list of instances is taken from another member. Control members wait as long
 * before they replace a silent leader.
 */
const leaderWaitMs = 1_000;

/**
 * Time that members have to answer a status request: several one-way latencies between regions and the delay of a busy
 * member.
 */
const statusWaitMs = 300;

/**
 * Fraction by which another member's list must be longer before this instance switches to it. A network partition hides
 * at least one of the planned 7 data centres, which is more than this fraction; instances that are just attaching are
 * fewer.
 */
const hysteresisShare = 0.1;

type AttachmentsInput =
    | Attached
    | Detached
    | FrameReceived
    | DatabaseSuspected
    | ConfigurationApplied
    | FleetTimer
    | FleetDrainStarted;

type InstancesFrame = Extract<FleetFrame, { readonly kind: "instances" | "instances_changed"; }>;

interface Member {
    readonly attachmentId: string;
    readonly address: string;
    leading: boolean;
    term: number;
    configurationVersion: number;
    /** Instances attached to the member; undefined until its first status. */
    instanceCount: number | undefined;
}

export interface AttachmentsOptions {
    readonly instanceId: string;
    readonly dataCentre: string;
    /** `host:port` of this process's gRPC listener. */
    readonly address: string;
    /** Whether this process serves callers; false on control members. */
    readonly serves: boolean;
    /** Whether this process reads the configuration from a control member. */
    readonly followsConfiguration: boolean;
}

export class Attachments implements Filter<AttachmentsInput, Message> {
    readonly step = "attachments";
    readonly accepts = [
        FleetKind.Attached,
        FleetKind.Detached,
        FleetKind.FrameReceived,
        FleetKind.DatabaseSuspected,
        FleetKind.ConfigurationLagCheckDue,
        FleetKind.InstancesCheckDue,
        FleetKind.DrainStarted,
        ClusterKind.ConfigurationApplied,
    ];
    private readonly options: AttachmentsOptions;
    private readonly members = new Map<string, Member>();
    private readonly suspicionSentAtMs = new Map<string, number>();
    private readonly instances = new KnownInstances();
    private hasList = false;
    private leaving = false;
    /** Member whose list of instances this instance is subscribed to. */
    private followedMember: Member | undefined;
    /** While no leader is known: time of the next step, and whether the members were asked for their status. */
    private leaderless: { readonly untilMs: number; readonly asked: boolean; } | undefined;
    private appliedVersion = 0;
    private lagSinceMs: number | undefined;

    constructor(options: AttachmentsOptions) {
        this.options = options;
    }

    process(message: AttachmentsInput, nowMs: number): readonly Message[] {
        return match<AttachmentsInput, readonly Message[]>(message)
            .with({ kind: FleetKind.Attached, address: P.string }, matched => this.attach(matched))
            .with({ kind: FleetKind.Detached }, matched => [matched, ...this.detach(matched.attachmentId, nowMs)])
            .with({ kind: FleetKind.FrameReceived }, matched => [matched, ...this.receive(matched, nowMs)])
            .with({ kind: FleetKind.DatabaseSuspected }, matched => this.reportSuspicion(matched.databaseId, nowMs))
            .with({ kind: FleetKind.ConfigurationLagCheckDue }, () => this.checkConfigurationLag(nowMs))
            .with(
                { kind: FleetKind.InstancesCheckDue },
                () => [...this.publishInstances(nowMs), ...this.chooseFollowedMember(nowMs)],
            )
            .with({ kind: FleetKind.DrainStarted }, matched => {
                this.leaving = true;
                return [
                    matched,
                    ...[...this.members.keys()].map(attachmentId => sendFrame(attachmentId, { kind: "leaving" })),
                ];
            })
            .with({ kind: ClusterKind.ConfigurationApplied }, matched => {
                this.appliedVersion = matched.configuration.version;
                this.lagSinceMs = undefined;
                return [matched];
            })
            .otherwise(other => [other]);
    }

    private attach({ attachmentId, address }: Attached): readonly Message[] {
        this.members.set(attachmentId, {
            attachmentId,
            address: address!,
            leading: false,
            term: 0,
            configurationVersion: 0,
            instanceCount: undefined,
        });
        const { instanceId, dataCentre, serves, address: ownAddress } = this.options;
        const { leaving } = this;
        return [
            sendFrame(attachmentId, { kind: "hello", instanceId, dataCentre, serves, leaving, address: ownAddress }),
        ];
    }

    private receive({ attachmentId, frame }: FrameReceived, nowMs: number): readonly Message[] {
        const member = this.members.get(attachmentId);
        if (member === undefined) {
            return [];
        }
        if (frame.kind === "assess") {
            return [{ kind: FleetKind.AssessmentRequested, attachmentId, databaseId: frame.databaseId } as Message];
        }
        if (frame.kind === "instances" || frame.kind === "instances_changed") {
            return member === this.followedMember ? this.applyInstances(member, frame, nowMs) : [];
        }
        if (frame.kind === "configuration") {
            member.configurationVersion = frame.version;
            return this.checkConfigurationLag(nowMs);
        }
        if (frame.kind !== "status") {
            return [];
        }
        member.leading = frame.leading;
        member.term = frame.term;
        member.configurationVersion = frame.configurationVersion;
        member.instanceCount = frame.instanceCount;
        return [...this.chooseFollowedMember(nowMs), ...this.checkConfigurationLag(nowMs)];
    }

    private detach(attachmentId: string, nowMs: number): readonly Message[] {
        const lost = this.members.get(attachmentId);
        this.members.delete(attachmentId);
        if (lost === undefined || lost !== this.followedMember) {
            return [];
        }
        this.followedMember = undefined;
        return this.chooseFollowedMember(nowMs);
    }

    /**
     * Follows the leader's list of instances or, after some time without a leader, the longest one, because a
     * partitioned member has few instances attached.
     */
    private chooseFollowedMember(nowMs: number): readonly Message[] {
        if (!this.options.serves) {
            return [];
        }
        const leader = this.leader();
        if (leader !== undefined) {
            this.leaderless = undefined;
            return this.follow(leader);
        }
        // Without a list, this instance would open its own links to all databases, so it waits for no more than the
        // members' status.
        this.leaderless ??= this.hasList
            ? { untilMs: nowMs + leaderWaitMs, asked: false }
            : { untilMs: nowMs + statusWaitMs, asked: true };
        const { untilMs, asked } = this.leaderless;
        if (nowMs < untilMs) {
            return [leaderlessTimer(untilMs)];
        }
        const nextMs = nowMs + (asked ? leaderWaitMs : statusWaitMs);
        this.leaderless = { untilMs: nextMs, asked: !asked };
        return [...asked ? this.followLongestList() : this.requestStatus(), leaderlessTimer(nextMs)];
    }

    private requestStatus(): readonly Message[] {
        return [...this.members.keys()].map(attachmentId => sendFrame(attachmentId, { kind: "status_asked" }));
    }

    private followLongestList(): readonly Message[] {
        const candidates = [...this.members.values()].filter(({ instanceCount }) => instanceCount !== undefined);
        const longest = candidates.sort((left, right) => right.instanceCount! - left.instanceCount!)[0];
        if (longest === undefined) {
            return [];
        }
        const isLonger = this.followedMember === undefined
            || longest.instanceCount! > (this.followedMember.instanceCount ?? 0) * (1 + hysteresisShare);
        return isLonger ? this.follow(longest) : [];
    }

    private follow(member: Member): readonly Message[] {
        if (member === this.followedMember) {
            return [];
        }
        const previous = this.followedMember;
        this.followedMember = member;
        return [
            ...previous === undefined
                ? []
                : [sendFrame(previous.attachmentId, { kind: "follow_instances", followed: false })],
            sendFrame(member.attachmentId, { kind: "follow_instances", followed: true }),
        ];
    }

    private applyInstances(member: Member, frame: InstancesFrame, nowMs: number): readonly Message[] {
        if (frame.kind === "instances") {
            this.hasList = true;
            this.instances.replace(frame.instances, nowMs);
            member.instanceCount = frame.instances.length;
        }
        else {
            this.instances.applyChanges(frame, member.leading, nowMs);
            member.instanceCount = (member.instanceCount ?? 0) + frame.joined.length - frame.left.length;
        }
        return [...this.publishInstances(nowMs), ...this.chooseFollowedMember(nowMs)];
    }

    private publishInstances(nowMs: number): readonly Message[] {
        const dueMs = this.instances.removeExpired(nowMs);
        const instances = this.instances.takeUpdate();
        return [
            ...dueMs === undefined ? [] : [setDeadline("fleet.absence", dueMs, { kind: FleetKind.InstancesCheckDue })],
            ...instances === undefined ? [] : [{ kind: PeerKind.InstancesKnown, instances } as InstancesKnown],
        ];
    }

    private leader(): Member | undefined {
        return [...this.members.values()].filter(({ leading }) => leading)
            .sort((left, right) => right.term - left.term)[0];
    }

    private checkConfigurationLag(nowMs: number): readonly Message[] {
        const membersAhead = [...this.members.values()].filter(member =>
            member.configurationVersion > this.appliedVersion
        );
        if (!this.options.followsConfiguration || membersAhead.length === 0) {
            this.lagSinceMs = undefined;
            return [];
        }
        this.lagSinceMs ??= nowMs;
        const timer = setDeadline("fleet.behind", nowMs + lagCheckIntervalMs, {
            kind: FleetKind.ConfigurationLagCheckDue,
        });
        if (nowMs - this.lagSinceMs < lagLimitMs) {
            return [timer];
        }
        this.lagSinceMs = nowMs;
        const addresses = membersAhead.map(({ address }) => address);
        const resubscribe: FeedResubscribe = { kind: FeedKind.Resubscribe, version: this.appliedVersion, addresses };
        return [resubscribe, timer];
    }

    private reportSuspicion(databaseId: string, nowMs: number): readonly Message[] {
        if (nowMs - (this.suspicionSentAtMs.get(databaseId) ?? -Infinity) < suspicionIntervalMs) {
            return [];
        }
        this.suspicionSentAtMs.set(databaseId, nowMs);
        return this.sendToLeaders({ kind: "suspect", databaseId });
    }

    private sendToLeaders(frame: FleetFrame): readonly Message[] {
        return [...this.members.values()].filter(({ leading }) => leading)
            .map(({ attachmentId }) => sendFrame(attachmentId, frame));
    }
}

export function sendFrame(attachmentId: string, frame: FleetFrame): Message {
    return { kind: FleetKind.SendFrame, attachmentId, frame } as Message;
}

function leaderlessTimer(atMs: number): Message {
    return setDeadline("fleet.follow", atMs, { kind: FleetKind.InstancesCheckDue });
}
