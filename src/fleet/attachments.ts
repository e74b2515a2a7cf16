/** The attaching side: which control members to attach to, who leads, and what is sent to them. */
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
    type MembersKnown,
} from "../model/fleetMessages.ts";
import { type InstancesKnown, PeerKind } from "../model/peerMessages.ts";
import { setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { KnownInstances } from "./knownInstances.ts";

/** Two reports of a suspicion about one database are at least this far apart. */
const suspicionIntervalMs = 200;

/**
 * Time for which the configuration may be behind one that a member has announced, before it is asked for there
 * unless it is arriving; the feed needs about one way between data centres.
 */
const lagLimitMs = 300;

/** How often the lag of the configuration is looked at while there is one. */
const lagCheckIntervalMs = 150;

/**
 * Time without a leader after which the list of instances comes from another member; members wait as long for a leader
 * that is silent.
 */
const leaderWaitMs = 1_000;

/** Time for the answers of members; some ways between regions and the work of a busy member. */
const statusWaitMs = 300;

/**
 * Part by which the list of another member has to be longer. A cut hides a data centre or more, of the 7 of the planned
 * size; attachments that are on their way are fewer.
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
    /** Instances attached there; undefined until its first status. */
    instanceCount: number | undefined;
    /** Addresses of the members that it names. */
    members: readonly string[];
}

export interface AttachmentsOptions {
    readonly instanceId: string;
    readonly dataCentre: string;
    /** `host:port` of its gRPC listener. */
    readonly address: string;
    /** It serves callers. */
    readonly serves: boolean;
    /** It reads the configuration from a control member. */
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
    private memberAddresses: readonly string[] = [];
    private readonly instances = new KnownInstances();
    private hasList = false;
    private leaving = false;
    /** Member that the list of instances comes from. */
    private followedMember: Member | undefined;
    /** While no leader is known: when the next step is due, and whether the members were asked for their status. */
    private leaderless: { readonly untilMs: number; readonly asked: boolean; } | undefined;
    private appliedVersion = 0;
    private lagSinceMs: number | undefined;

    constructor(options: AttachmentsOptions) {
        this.options = options;
    }

    process(message: AttachmentsInput, nowMs: number): readonly Message[] {
        return match<AttachmentsInput, readonly Message[]>(message)
            .with({ kind: FleetKind.Attached, address: P.string }, found => this.attach(found))
            .with({ kind: FleetKind.Detached }, found => [found, ...this.detach(found.attachmentId, nowMs)])
            .with({ kind: FleetKind.FrameReceived }, found => [found, ...this.receive(found, nowMs)])
            .with({ kind: FleetKind.DatabaseSuspected }, found => this.reportSuspicion(found.databaseId, nowMs))
            .with({ kind: FleetKind.ConfigurationLagCheckDue }, () => this.checkConfigurationLag(nowMs))
            .with(
                { kind: FleetKind.InstancesCheckDue },
                () => [...this.publishInstances(nowMs), ...this.chooseFollowedMember(nowMs)],
            )
            .with({ kind: FleetKind.DrainStarted }, found => {
                this.leaving = true;
                return [
                    found,
                    ...[...this.members.keys()].map(attachmentId => sendFrame(attachmentId, { kind: "leaving" })),
                ];
            })
            .with({ kind: ClusterKind.ConfigurationApplied }, found => {
                this.appliedVersion = found.configuration.version;
                this.lagSinceMs = undefined;
                return [found];
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
            members: [],
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
        member.members = frame.members;
        return [
            ...this.updateMembers(member),
            ...this.chooseFollowedMember(nowMs),
            ...this.checkConfigurationLag(nowMs),
        ];
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

    /** The leader's list counts; without a leader for a while, the longest, because a member that is cut off sees few. */
    private chooseFollowedMember(nowMs: number): readonly Message[] {
        if (!this.options.serves) {
            return [];
        }
        const leader = this.leader();
        if (leader !== undefined) {
            this.leaderless = undefined;
            return this.follow(leader);
        }
        // Without any list, this instance would open its own links to all databases.
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

    /**
     * The leader's list of members counts. Without a leader, an instance tries all that any member has named, because a
     * member that is cut off names some that have gone and lacks others.
     */
    private updateMembers({ members }: Member): readonly Message[] {
        const leader = this.leader();
        const addresses = !this.options.serves
            ? members
            : leader?.members ?? [...new Set([...this.memberAddresses, ...members])];
        if (addresses.length === 0 || sameSet(addresses, this.memberAddresses)) {
            return [];
        }
        this.memberAddresses = addresses;
        return [{ kind: FleetKind.MembersKnown, addresses } as MembersKnown];
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

function sameSet(left: readonly string[], right: readonly string[]): boolean {
    return left.length === right.length && left.every(element => right.includes(element));
}
