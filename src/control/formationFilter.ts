/** Forms a new cluster, sends join requests and answers those of other instances. */
import { ControlKind, type ControlMembersAgreed, type ControlSeedsChanged } from "../model/controlMessages.ts";
import { type JoinAnswer, type JoinRequest, LogKind, outgoingMessage, type PeerMessage } from "../model/logMessages.ts";
import type { Member } from "../model/replicatedLog.ts";
import { StorageKind, type StorageRecovered } from "../model/storageMessages.ts";
import { setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import {
    isMemberWithAddress,
    memberKey,
    MemberKind,
    type MembersChanged,
    recoveredMembers,
    type TimerEvent,
} from "./memberMessages.ts";
import { faultTolerantSize, maximumMembers } from "./quorums.ts";

/**
 * Interval of the join requests of an instance until it is a member. Joining takes four requests: one to start
 * replication, one once it has caught up, and one for each of the two membership changes. Until then the loss of
 * another disk may cost the majority, so joining must end well within the few seconds that a replaced machine has to be
 * ready.
 */
export const joinRequestIntervalMs = 200;

/** Interval of the join requests of a listed member that no other member contacts. */
const silentJoinRequestIntervalMs = 1_000;

/** Time for which an answer that the peer's disk is empty is valid: two intervals of 1 s and some delay. */
const joinAnswerValidityMs = 2_500;

/**
 * Time without a leader's or follower's message after which a listed member sends join requests. It may have been removed,
 * or its list of members may come from an entry that was never committed. A vote request is no such contact: several
 * members that were removed would ask each other for ever.
 */
const silenceTimeoutMs = 3_000;

/**
 * Time for which the forming member waits for further instances once all initial members have answered, if the initial
 * members are too few for the fault tolerance. Longer than the spread of the machines' start times and a few intervals.
 */
const additionalMembersWaitMs = 3_000;

/** A control member as named in the settings; its incarnation is known only from its own messages. */
export interface InitialMember {
    readonly memberId: string;
    readonly address: string;
}

export interface FormationFilterOptions {
    readonly self: Member;
    /** The same list on all control members; the first member of the list forms a new cluster. */
    readonly initialMembers: readonly InitialMember[];
    /** False if this instance may only join an existing cluster; by default true. */
    readonly canFormCluster?: boolean;
    /** Any instance may join, and other pipes get the list of members; by default false. */
    readonly automaticMembership?: boolean;
    /** Disks that may be lost at the same time; by default 0. */
    readonly faultTolerance?: number;
}

type FormationInput = StorageRecovered | TimerEvent | PeerMessage | MembersChanged | ControlSeedsChanged;

/**
 * The first of the initial members forms the cluster once all others have answered that their disks are empty too. With
 * automatic membership, the first list of members includes the instances that asked to join in the meantime, so that
 * early changes are on as many disks as later ones. If the first member's own disk was wiped, the answer of a peer says
 * that the cluster exists, and the member joins it instead of forming a second one.
 */
export class FormationFilter implements Filter<FormationInput, Message> {
    readonly step = "form";
    readonly accepts = [
        StorageKind.Recovered,
        MemberKind.FormDue,
        MemberKind.MembersChanged,
        LogKind.JoinRequest,
        LogKind.JoinAnswer,
        LogKind.VoteRequest,
        LogKind.AppendRequest,
        LogKind.SnapshotRequest,
        LogKind.AppendAnswer,
        ControlKind.SeedsChanged,
    ];
    private readonly options: FormationFilterOptions;
    /** Instances to which join requests are sent, from the settings and from the last known list of members. */
    private seeds: readonly InitialMember[];
    private members: readonly Member[] = [];
    /** Members reported in join answers since this instance was last listed, by address. */
    private readonly reportedMembers = new Map<string, Member>();
    private lastContactAtMs = -Infinity;
    /** This instance belongs to a cluster, or may have voted or acknowledged entries in one. */
    private formed = false;
    /** The last known list of members contains this incarnation with its current address, so it need not join. */
    private listed = false;
    /** Instances that are not in the settings and sent a join request to this one. */
    private readonly unconfiguredJoiners = new Map<string, InitialMember>();
    /** Time since which the disks of all initial members are known to be empty. */
    private initialMembersEmptySinceMs = Infinity;
    private readonly emptyPeers = new Map<string, { readonly member: Member; readonly answeredAtMs: number; }>();

    constructor(options: FormationFilterOptions) {
        this.options = options;
        this.seeds = options.initialMembers;
    }

    process(message: FormationInput, nowMs: number): readonly Message[] {
        switch (message.kind) {
            case StorageKind.Recovered:
                return this.recover(message, nowMs);
            case MemberKind.FormDue:
                return this.sendJoinRequests(nowMs);
            case MemberKind.MembersChanged:
                this.updateListed(message.members);
                return [...this.updateMembers(message.members), ...this.listed ? [] : [this.timer(nowMs)]];
            case ControlKind.SeedsChanged:
                this.seeds = message.seeds;
                return [];
            case LogKind.JoinRequest:
                this.recordUnconfiguredJoiner(message.from);
                return [this.answer(message), message];
            case LogKind.JoinAnswer:
                return this.receiveAnswer(message, nowMs);
            default:
                if (memberKey((message as PeerMessage).to) === memberKey(this.options.self)) {
                    this.formed = true;
                    this.lastContactAtMs = message.kind === LogKind.VoteRequest ? this.lastContactAtMs : nowMs;
                }
                return [message];
        }
    }

    private recover(recovered: StorageRecovered, nowMs: number): readonly Message[] {
        const members = recoveredMembers(recovered);
        this.formed = recovered.term > 0 || members.length > 0;
        this.updateListed(members);
        this.lastContactAtMs = nowMs;
        return [recovered, this.timer(nowMs), ...this.updateMembers(members)];
    }

    /** Stores the list of members, and reports their addresses to other pipes if membership is automatic. */
    private updateMembers(members: readonly Member[]): readonly Message[] {
        if (members.length === 0) {
            return [];
        }
        this.members = members;
        const addresses = members.map(({ address }) => address);
        return this.options.automaticMembership === true
            ? [{ kind: ControlKind.MembersAgreed, addresses } as ControlMembersAgreed]
            : [];
    }

    private updateListed(members: readonly Member[]): void {
        this.listed = isMemberWithAddress(members, this.options.self);
        if (this.listed) {
            this.reportedMembers.clear();
        }
    }

    private sendJoinRequests(nowMs: number): readonly Message[] {
        if (this.listed && nowMs - this.lastContactAtMs < silenceTimeoutMs) {
            return [this.timer(nowMs)];
        }
        const formationMembers = this.formationMembers(nowMs);
        if (formationMembers !== undefined) {
            this.formed = true;
            this.listed = true;
            // The timer goes on: this member may be removed from the list while it is cut off, and then has to join.
            return [{ kind: MemberKind.FormCluster, members: formationMembers } as Message, this.timer(nowMs)];
        }
        const { self } = this.options;
        const others = [
            ...this.seeds,
            ...this.formed ? [] : this.unconfiguredJoiners.values(),
            ...this.reportedMembers.values(),
        ];
        const targets = new Map([...others, ...this.members].map(target => [target.address, target]));
        targets.delete(self.address);
        const requests = [...targets.values()].map(({ memberId, address }) => {
            const to = { memberId, address, incarnation: "" };
            return outgoingMessage({ kind: LogKind.JoinRequest, from: self, to, term: 0, callId: "" });
        });
        // A leader that restarted under another address must add the new address to the list itself.
        const ownRequest = this.formed
            ? [outgoingMessage({ kind: LogKind.JoinRequest, from: self, to: self, term: 0, callId: "" })]
            : [];
        return [...requests, ...ownRequest, this.timer(nowMs)];
    }

    /** Members of the new cluster; undefined if this instance must not form it, or not yet. */
    private formationMembers(nowMs: number): readonly Member[] | undefined {
        const { self, initialMembers } = this.options;
        if (this.formed || this.options.canFormCluster === false || initialMembers[0]?.memberId !== self.memberId) {
            return undefined;
        }
        const empty = [...initialMembers.slice(1), ...this.unconfiguredJoiners.values()]
            .map(({ memberId }) => this.emptyPeers.get(memberId))
            .filter(peer => peer !== undefined && nowMs - peer.answeredAtMs <= joinAnswerValidityMs)
            .map(peer => peer!.member);
        if (!initialMembers.slice(1).every(({ memberId }) => empty.some(member => member.memberId === memberId))) {
            this.initialMembersEmptySinceMs = Infinity;
            return undefined;
        }
        this.initialMembersEmptySinceMs = Math.min(this.initialMembersEmptySinceMs, nowMs);
        const members = [self, ...empty].slice(0, maximumMembers);
        const sufficient = members.length >= faultTolerantSize(this.options.faultTolerance ?? 0);
        return sufficient || nowMs - this.initialMembersEmptySinceMs >= additionalMembersWaitMs ? members : undefined;
    }

    private recordUnconfiguredJoiner({ memberId, address }: Member): void {
        const { self, initialMembers, automaticMembership } = this.options;
        const isConfigured = memberId === self.memberId
            || initialMembers.some(initial => initial.memberId === memberId);
        if (automaticMembership === true && !isConfigured && !this.formed) {
            this.unconfiguredJoiners.set(memberId, { memberId, address });
        }
    }

    private answer(request: JoinRequest): Message {
        const { self } = this.options;
        const envelope = { from: self, to: request.from, term: 0, callId: request.callId };
        return outgoingMessage({ ...envelope, kind: LogKind.JoinAnswer, formed: this.formed, members: this.members });
    }

    private receiveAnswer(answer: JoinAnswer, nowMs: number): readonly Message[] {
        const { memberId } = answer.from;
        answer.members.forEach(member => this.reportedMembers.set(member.address, member));
        if (answer.formed) {
            this.emptyPeers.delete(memberId);
        }
        else if (
            this.unconfiguredJoiners.has(memberId)
            || this.options.initialMembers.some(found => found.memberId === memberId)
        ) {
            this.emptyPeers.set(memberId, { member: answer.from, answeredAtMs: nowMs });
        }
        return [];
    }

    private timer(nowMs: number): Message {
        const intervalMs = this.listed ? silentJoinRequestIntervalMs : joinRequestIntervalMs;
        return setDeadline("control.form", nowMs + intervalMs, { kind: MemberKind.FormDue });
    }
}
