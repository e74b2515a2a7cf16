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
import { type InstancesKnown, type PeerInstance, PeerKind } from "../model/peerMessages.ts";
import { setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";

/** Two reports of a suspicion about one database are at least this far apart. */
const suspicionIntervalMs = 200;

/**
 * Time for which the configuration may be behind one that a member has announced, before it is asked for there; the
 * feed needs about one way between data centres.
 */
const behindLimitMs = 300;

/** How often the lag of the configuration is looked at while there is one. */
const behindCheckMs = 150;

type AttachmentsInput =
    | Attached
    | Detached
    | FrameReceived
    | DatabaseSuspected
    | ConfigurationApplied
    | FleetTimer
    | FleetDrainStarted;

interface Member {
    readonly attachmentId: string;
    readonly address: string;
    leading: boolean;
    term: number;
    configurationVersion: number;
    instances: readonly PeerInstance[];
}

export interface AttachmentsOptions {
    readonly instanceId: string;
    readonly dataCentre: string;
    /** `host:port` of its gRPC listener. */
    readonly address: string;
    /** It serves callers. */
    readonly serves: boolean;
    /** It reads the configuration from a control member. */
    readonly follows: boolean;
}

export class Attachments implements Filter<AttachmentsInput, Message> {
    readonly step = "attachments";
    readonly accepts = [
        FleetKind.Attached,
        FleetKind.Detached,
        FleetKind.FrameReceived,
        FleetKind.DatabaseSuspected,
        FleetKind.DirectoryDue,
        FleetKind.DrainStarted,
        ClusterKind.ConfigurationApplied,
    ];
    private readonly options: AttachmentsOptions;
    private readonly members = new Map<string, Member>();
    private readonly suspectedMs = new Map<string, number>();
    private knownAddresses: readonly string[] = [];
    private shownInstances: readonly PeerInstance[] = [];
    private version = 0;
    private behindSinceMs: number | undefined;

    constructor(options: AttachmentsOptions) {
        this.options = options;
    }

    process(message: AttachmentsInput, nowMs: number): readonly Message[] {
        return match<AttachmentsInput, readonly Message[]>(message)
            .with({ kind: FleetKind.Attached, address: P.string }, found => this.attach(found))
            .with({ kind: FleetKind.Detached }, found => {
                this.members.delete(found.attachmentId);
                return [found];
            })
            .with({ kind: FleetKind.FrameReceived }, found => [found, ...this.receive(found, nowMs)])
            .with({ kind: FleetKind.DatabaseSuspected }, found => this.suspect(found.databaseId, nowMs))
            .with({ kind: FleetKind.DirectoryDue }, () => this.checkLag(nowMs))
            .with({ kind: FleetKind.DrainStarted }, found => [
                found,
                ...[...this.members.keys()].map(attachmentId => sendFrame(attachmentId, { kind: "leaving" })),
            ])
            .with({ kind: ClusterKind.ConfigurationApplied }, found => {
                this.version = found.configuration.version;
                this.behindSinceMs = undefined;
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
            instances: [],
        });
        const { instanceId, dataCentre, serves, address: ownAddress } = this.options;
        return [sendFrame(attachmentId, { kind: "hello", instanceId, dataCentre, serves, address: ownAddress })];
    }

    private receive({ attachmentId, frame }: FrameReceived, nowMs: number): readonly Message[] {
        const member = this.members.get(attachmentId);
        if (member === undefined) {
            return [];
        }
        if (frame.kind === "assess") {
            return [{ kind: FleetKind.AssessmentAsked, attachmentId, databaseId: frame.databaseId } as Message];
        }
        if (frame.kind === "instances") {
            member.instances = frame.instances;
            return this.followInstances();
        }
        if (frame.kind !== "status") {
            return [];
        }
        member.leading = frame.leading;
        member.term = frame.term;
        member.configurationVersion = frame.configurationVersion;
        return [...this.followMembers(frame.members), ...this.followInstances(), ...this.checkLag(nowMs)];
    }

    /** The leader's list counts; without a leader, the longest, because a member that is cut off sees few. */
    private followInstances(): readonly Message[] {
        const members = [...this.members.values()];
        const leader = members.find(({ leading, instances }) => leading && instances.length > 0);
        const longest = members.sort((left, right) => right.instances.length - left.instances.length)[0];
        const instances = (leader ?? longest)?.instances ?? [];
        if (!this.options.serves || instances === this.shownInstances) {
            return [];
        }
        this.shownInstances = instances;
        return [{ kind: PeerKind.InstancesKnown, instances } as InstancesKnown];
    }

    private followMembers(members: readonly string[]): readonly Message[] {
        if (members.length === 0 || sameSet(members, this.knownAddresses)) {
            return [];
        }
        this.knownAddresses = members;
        return [{ kind: FleetKind.MembersKnown, addresses: members } as MembersKnown];
    }

    private checkLag(nowMs: number): readonly Message[] {
        const ahead = [...this.members.values()].filter(member => member.configurationVersion > this.version);
        if (!this.options.follows || ahead.length === 0) {
            this.behindSinceMs = undefined;
            return [];
        }
        this.behindSinceMs ??= nowMs;
        const timer = setDeadline("fleet.behind", nowMs + behindCheckMs, { kind: FleetKind.DirectoryDue });
        if (nowMs - this.behindSinceMs < behindLimitMs) {
            return [timer];
        }
        this.behindSinceMs = nowMs;
        const { address } = ahead.sort((left, right) => right.configurationVersion - left.configurationVersion)[0]!;
        const resubscribe: FeedResubscribe = { kind: FeedKind.Resubscribe, version: this.version, address };
        return [resubscribe, timer];
    }

    private suspect(databaseId: string, nowMs: number): readonly Message[] {
        if (nowMs - (this.suspectedMs.get(databaseId) ?? -Infinity) < suspicionIntervalMs) {
            return [];
        }
        this.suspectedMs.set(databaseId, nowMs);
        return this.toLeaders({ kind: "suspect", databaseId });
    }

    private toLeaders(frame: FleetFrame): readonly Message[] {
        return [...this.members.values()].filter(({ leading }) => leading)
            .map(({ attachmentId }) => sendFrame(attachmentId, frame));
    }
}

export function sendFrame(attachmentId: string, frame: FleetFrame): Message {
    return { kind: FleetKind.SendFrame, attachmentId, frame } as Message;
}

function sameSet(left: readonly string[], right: readonly string[]): boolean {
    return left.length === right.length && left.every(element => right.includes(element));
}
