/** How an instance with an empty disk becomes a member, and how a new cluster forms. */
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
 * Interval at which an instance asks to join until it is a member. Becoming one takes four questions: to be tracked, to
 * have caught up, and for each of the two changes of the list. Until then the loss of another disk may be the loss of a
 * majority, so this has to be well over within the few seconds that a replaced machine is given.
 */
export const joinRequestIntervalMs = 200;

/** Interval at which a listed member that hears nobody asks. */
const silentJoinRequestIntervalMs = 1_000;

/** Age up to which a peer's word that its disk is empty counts: two intervals and some delay. */
const joinAnswerValidityMs = 2_500;

/**
 * Silence of all other members after which an instance that is listed asks to join. It may have been removed, or its
 * list may rest on an entry that was never committed.
 */
const silenceTimeoutMs = 3_000;

/**
 * Time for which a founder that has heard from all initial members waits for more, where those are too few for the losses
 * to be borne; above the spread of the machines' start and a few intervals.
 */
const additionalMembersWaitMs = 3_000;

/** A control member by its settings; its incarnation is learned from the instance itself. */
export interface InitialMember {
    readonly memberId: string;
    readonly address: string;
}

export interface FormationFilterOptions {
    readonly self: Member;
    /** Equal on all control members; the first one founds the cluster. */
    readonly initialMembers: readonly InitialMember[];
    /** False on an instance that may only join an existing cluster. */
    readonly canFormCluster?: boolean;
    /** Any instance may be a member, and other pipes are told which members are agreed on. */
    readonly automaticMembership?: boolean;
    /** Disks that may be lost at one moment; none unless set. */
    readonly faultTolerance?: number;
}

type FormationInput = StorageRecovered | TimerEvent | PeerMessage | MembersChanged | ControlSeedsChanged;

/**
 * The first of the initial members founds the cluster once every other one says that its disk is empty too. With open
 * membership the instances that asked to join meanwhile are in the first list, so that no early change rests on fewer
 * disks than later ones. A founder whose disk was wiped hears from a peer that the cluster exists, and joins it instead
 * of founding a second one.
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
    /** Instances to ask by the settings, and by the last list of members. */
    private seeds: readonly InitialMember[];
    private members: readonly Member[] = [];
    /** Members that others named since this instance was last listed, by address. */
    private readonly reportedMembers = new Map<string, Member>();
    private lastContactMs = -Infinity;
    /** This instance takes part in a cluster, or may have promised something to one. */
    private formed = false;
    /** This incarnation was seen in the list of members under its present address, so it need not ask to join. */
    private listed = false;
    /** Instances that the settings do not name and that asked this one. */
    private readonly unconfiguredJoiners = new Map<string, InitialMember>();
    /** Time since which all initial members are known to be empty. */
    private initialMembersEmptySinceMs = Infinity;
    private readonly emptyPeers = new Map<string, { readonly member: Member; readonly lastContactMs: number; }>();

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
                    this.lastContactMs = nowMs;
                }
                return [message];
        }
    }

    private recover(recovered: StorageRecovered, nowMs: number): readonly Message[] {
        const members = recoveredMembers(recovered);
        this.formed = recovered.term > 0 || members.length > 0;
        this.updateListed(members);
        this.lastContactMs = nowMs;
        return [recovered, this.timer(nowMs), ...this.updateMembers(members)];
    }

    /** Follows the members to where they are now, and tells other pipes where that wants it. */
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
        if (this.listed && nowMs - this.lastContactMs < silenceTimeoutMs) {
            return [this.timer(nowMs)];
        }
        const formationMembers = this.formationMembers(nowMs);
        if (formationMembers !== undefined) {
            this.formed = true;
            this.listed = true;
            return [{ kind: MemberKind.FormCluster, members: formationMembers } as Message];
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
        // A leader that came back under another address has nobody else to ask.
        const own = this.formed
            ? [outgoingMessage({ kind: LogKind.JoinRequest, from: self, to: self, term: 0, callId: "" })]
            : [];
        return [...requests, ...own, this.timer(nowMs)];
    }

    /** The members of a new cluster, if this instance may found it now. */
    private formationMembers(nowMs: number): readonly Member[] | undefined {
        const { self, initialMembers } = this.options;
        if (this.formed || this.options.canFormCluster === false || initialMembers[0]?.memberId !== self.memberId) {
            return undefined;
        }
        const empty = [...initialMembers.slice(1), ...this.unconfiguredJoiners.values()]
            .map(({ memberId }) => this.emptyPeers.get(memberId))
            .filter(peer => peer !== undefined && nowMs - peer.lastContactMs <= joinAnswerValidityMs)
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
        const head = { from: self, to: request.from, term: 0, callId: request.callId };
        return outgoingMessage({ ...head, kind: LogKind.JoinAnswer, formed: this.formed, members: this.members });
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
            this.emptyPeers.set(memberId, { member: answer.from, lastContactMs: nowMs });
        }
        return [];
    }

    private timer(nowMs: number): Message {
        const intervalMs = this.listed ? silentJoinRequestIntervalMs : joinRequestIntervalMs;
        return setDeadline("control.form", nowMs + intervalMs, { kind: MemberKind.FormDue });
    }
}
