/**
 * Finds the control members to attach to. While there is a leader, its list is used. Without one, the search goes on for
 * as long as the process runs, over all addresses that may belong to a member: the last known list, the lists of members
 * that answer, the seeds of the settings as they are now, and the lists of other instances.
 */
import { match } from "ts-pattern";
import {
    ControlKind,
    type ControlLeaderChanged,
    type ControlMembersAgreed,
    type ControlSeedsChanged,
} from "../model/controlMessages.ts";
import {
    type Detached,
    type DiscoveryProgressed,
    type FleetFrame,
    FleetKind,
    type FleetTimer,
    type FrameReceived,
    type MembersKnown,
} from "../model/fleetMessages.ts";
import {
    type InstancesKnown,
    type MembersQuestion,
    type MembersResult,
    type PeerAnswer,
    type PeerAnswered,
    type PeerAsked,
    type PeerInstance,
    PeerKind,
    type PeerSend,
} from "../model/peerMessages.ts";
import { setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import type { SeededRandom } from "../pipeline/seededRandom.ts";

/** Interval between two steps of a search. */
const searchIntervalMs = 1_000;

/** Time without a leader after which the search goes beyond the last known members; an election is over by then. */
const widerSearchAfterMs = 1_000;

/** Maximum number of other instances that are asked in one step. */
const maximumAskedInstances = 8;

type StatusFrame = Extract<FleetFrame, { readonly kind: "status"; }>;

type DiscoveryInput =
    | FrameReceived
    | Detached
    | InstancesKnown
    | PeerAsked
    | PeerAnswered
    | ControlSeedsChanged
    | ControlMembersAgreed
    | ControlLeaderChanged
    | FleetTimer;

interface AttachedMember {
    readonly leading: boolean;
    readonly term: number;
    /** Addresses of all control members, as listed by this one. */
    readonly addresses: readonly string[];
}

interface Search {
    readonly sinceMs: number;
    readonly steps: number;
}

export interface MemberDiscoveryOptions {
    /** `host:port` of this process's gRPC listener. */
    readonly address: string;
    /** This process is a control member: the replicated list is used instead of the lists of attached members. */
    readonly isMember: boolean;
    readonly random: SeededRandom;
}

export class MemberDiscovery implements Filter<DiscoveryInput, Message> {
    readonly step = "member_discovery";
    readonly accepts = [
        FleetKind.FrameReceived,
        FleetKind.Detached,
        FleetKind.DiscoveryDue,
        PeerKind.InstancesKnown,
        PeerKind.Asked,
        PeerKind.Answered,
        ControlKind.SeedsChanged,
        ControlKind.MembersAgreed,
        ControlKind.LeaderChanged,
    ];
    private readonly options: MemberDiscoveryOptions;
    private readonly attachedMembers = new Map<string, AttachedMember>();
    private seeds: readonly string[] = [];
    /** The last list of a leader or, on a control member, of the replicated log. */
    private lastMembers: readonly string[] = [];
    /** A control member knows a leader. */
    private hasControlLeader = false;
    private instances: readonly PeerInstance[] = [];
    /** Lists that other instances answered during this search, by address. */
    private readonly peerMembers = new Map<string, readonly string[]>();
    private search: Search | undefined;
    private published: readonly string[] = [];
    private nextQuestion = 0;

    constructor(options: MemberDiscoveryOptions) {
        this.options = options;
    }

    process(message: DiscoveryInput, nowMs: number): readonly Message[] {
        return match<DiscoveryInput, readonly Message[]>(message)
            .with({ kind: FleetKind.FrameReceived }, matched => {
                const { attachmentId, frame } = matched;
                return frame.kind === "status"
                    ? [matched, ...this.recordStatus(attachmentId, frame, nowMs)]
                    : [matched];
            })
            .with({ kind: FleetKind.Detached }, matched => {
                const wasAttached = this.attachedMembers.delete(matched.attachmentId);
                return wasAttached ? [matched, ...this.publish(nowMs)] : [matched];
            })
            .with({ kind: PeerKind.InstancesKnown }, matched => {
                this.instances = matched.instances.filter(({ address }) => address !== this.options.address);
                return [matched];
            })
            .with(
                { kind: PeerKind.Asked, question: { kind: "members" } },
                ({ streamId, question }) => [this.answer(streamId, question)],
            )
            .with(
                { kind: PeerKind.Answered, result: { kind: "members" } },
                ({ address, result }) => this.recordPeerMembers(address, result, nowMs),
            )
            .with({ kind: ControlKind.SeedsChanged }, matched => {
                this.seeds = matched.seeds.map(({ address }) => address);
                return this.publish(nowMs);
            })
            .with({ kind: ControlKind.MembersAgreed }, matched => {
                this.lastMembers = matched.addresses;
                return [matched, ...this.publish(nowMs)];
            })
            .with({ kind: ControlKind.LeaderChanged }, matched => {
                this.hasControlLeader = matched.leading || matched.leaderId !== undefined;
                return [matched, ...this.publish(nowMs)];
            })
            .with({ kind: FleetKind.DiscoveryDue }, () => this.continueSearch(nowMs))
            .otherwise(other => [other]);
    }

    private recordStatus(
        attachmentId: string,
        { leading, term, members: addresses }: StatusFrame,
        nowMs: number,
    ): readonly Message[] {
        this.attachedMembers.set(attachmentId, { leading, term, addresses });
        return this.publish(nowMs);
    }

    private continueSearch(nowMs: number): readonly Message[] {
        if (this.search === undefined) {
            return [];
        }
        const { sinceMs, steps } = this.search;
        const questions = this.isSearchWide(nowMs) ? this.askInstances(steps) : [];
        this.search = { sinceMs, steps: steps + 1 };
        const progressed: DiscoveryProgressed = {
            kind: FleetKind.DiscoveryProgressed,
            searchedForMs: nowMs - sinceMs,
            addresses: this.candidates(nowMs),
            attachedMembers: this.attachedMembers.size,
            askedInstances: questions.map(({ address }) => address),
        };
        return [...this.publish(nowMs), progressed, ...questions, searchTimer(nowMs)];
    }

    /** The present list of members; undefined while there is no leader. */
    private currentMembers(): readonly string[] | undefined {
        if (this.options.isMember) {
            return this.hasControlLeader && this.lastMembers.length > 0 ? this.lastMembers : undefined;
        }
        const [leader] = [...this.attachedMembers.values()].filter(({ leading }) => leading)
            .sort((left, right) => right.term - left.term);
        return leader === undefined || leader.addresses.length === 0 ? undefined : leader.addresses;
    }

    /** Addresses that may belong to a member while there is no leader. */
    private candidates(nowMs: number): readonly string[] {
        const lists = [...this.attachedMembers.values()].map(({ addresses }) => addresses);
        const widerLists = this.isSearchWide(nowMs) ? [this.seeds, ...this.peerMembers.values()] : [];
        return [...new Set([this.lastMembers, ...lists, ...widerLists].flat())];
    }

    /** Without a member that answers, waiting for an election would be in vain. */
    private isSearchWide(nowMs: number): boolean {
        return this.attachedMembers.size === 0
            || this.search !== undefined && nowMs - this.search.sinceMs >= widerSearchAfterMs;
    }

    private publish(nowMs: number): readonly Message[] {
        const members = this.currentMembers();
        const isSearchNew = members === undefined && this.search === undefined;
        if (members !== undefined) {
            this.lastMembers = members;
            this.search = undefined;
            this.peerMembers.clear();
        }
        else {
            this.search ??= { sinceMs: nowMs, steps: 0 };
        }
        const addresses = members ?? this.candidates(nowMs);
        const timer = isSearchNew ? [searchTimer(nowMs)] : [];
        if (addresses.length === 0 || isSameSet(addresses, this.published)) {
            return timer;
        }
        this.published = addresses;
        return [{ kind: FleetKind.MembersKnown, addresses } as MembersKnown, ...timer];
    }

    /** Asks other instances, twice as many in each step. */
    private askInstances(steps: number): readonly PeerSend[] {
        const remaining = [...this.instances];
        const count = Math.min(remaining.length, 2 ** steps, maximumAskedInstances);
        return Array.from({ length: count }, () => {
            const [instance] = remaining.splice(this.options.random.nextInteger(remaining.length), 1);
            const question: MembersQuestion = { kind: "members", questionId: `m${this.nextQuestion++}` };
            return { kind: PeerKind.Send, address: instance!.address, question };
        });
    }

    /** Only the list of a leader is passed on, so that instances do not keep old addresses alive among themselves. */
    private answer(streamId: string, { questionId }: MembersQuestion): PeerAnswer {
        const result: MembersResult = { kind: "members", questionId, addresses: this.currentMembers() ?? [] };
        return { kind: PeerKind.Answer, streamId, result };
    }

    private recordPeerMembers(address: string, { addresses }: MembersResult, nowMs: number): readonly Message[] {
        if (addresses.length === 0 || this.currentMembers() !== undefined) {
            return [];
        }
        this.peerMembers.set(address, addresses);
        return this.publish(nowMs);
    }
}

function searchTimer(nowMs: number): Message {
    return setDeadline("fleet.discovery", nowMs + searchIntervalMs, { kind: FleetKind.DiscoveryDue });
}

function isSameSet(left: readonly string[], right: readonly string[]): boolean {
    return left.length === right.length && left.every(element => right.includes(element));
}
