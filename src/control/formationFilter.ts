/** How an instance with an empty disk becomes a member, and how a new cluster forms. */
import { ControlKind, type ControlMembersAgreed, type ControlSeedsChanged } from "../model/controlMessages.ts";
import { type JoinAnswer, type JoinRequest, LogKind, type PeerMessage, send } from "../model/logMessages.ts";
import type { Member } from "../model/replicatedLog.ts";
import { StorageKind, type StorageRecovered } from "../model/storageMessages.ts";
import { setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import {
    isReachableMember,
    memberKey,
    MemberKind,
    type MembersChanged,
    recoveredMembers,
    type TimerEvent,
} from "./memberMessages.ts";
import { maximumMembers, tolerantSize } from "./quorums.ts";

/**
 * Interval at which an instance asks to join until it is a member. Becoming one takes four questions: to be tracked, to
 * have caught up, and for each of the two changes of the list. Until then the loss of another disk may be the loss of a
 * majority, so this has to be well over within the few seconds that a replaced machine is given.
 */
export const joinIntervalMs = 200;

/** Interval at which a listed member that hears nobody asks. */
const silentJoinIntervalMs = 1_000;

/** Age up to which a peer's word that its disk is empty counts: two intervals and some delay. */
const joinAnswerValidityMs = 2_500;

/**
 * Silence of all other members after which an instance that is listed asks to join. It may have been removed, or its
 * list may rest on an entry that was never committed.
 */
const silenceMs = 3_000;

/**
 * Time for which a founder that has heard from all initial members waits for more, where those are too few for the losses
 * to be borne; above the spread of the machines' start and a few intervals.
 */
const moreMembersMs = 3_000;

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
    readonly mayFound?: boolean;
    /** Any instance may be a member, and other pipes are told which members are agreed on. */
    readonly openMembership?: boolean;
    /** Disks that may be lost at one moment; none unless set. */
    readonly tolerance?: number;
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
    private readonly named = new Map<string, Member>();
    private heardMs = -Infinity;
    /** This instance takes part in a cluster, or may have promised something to one. */
    private formed = false;
    /** This incarnation was seen in the list of members under its present address, so it need not ask to join. */
    private listed = false;
    /** Instances that the settings do not name and that asked this one. */
    private readonly askers = new Map<string, InitialMember>();
    /** Time since which all initial members are known to be empty. */
    private initialReadyMs = Infinity;
    private readonly emptyPeers = new Map<string, { readonly member: Member; readonly heardMs: number; }>();

    constructor(options: FormationFilterOptions) {
        this.options = options;
        this.seeds = options.initialMembers;
    }

    process(message: FormationInput, nowMs: number): readonly Message[] {
        switch (message.kind) {
            case StorageKind.Recovered:
                return this.recover(message, nowMs);
            case MemberKind.FormDue:
                return this.ask(nowMs);
            case MemberKind.MembersChanged:
                this.noteListed(message.members);
                return [...this.announce(message.members), ...this.listed ? [] : [this.timer(nowMs)]];
            case ControlKind.SeedsChanged:
                this.seeds = message.seeds;
                return [];
            case LogKind.JoinRequest:
                this.noteAsker(message.from);
                return [this.answer(message), message];
            case LogKind.JoinAnswer:
                return this.note(message, nowMs);
            default:
                if (memberKey((message as PeerMessage).to) === memberKey(this.options.self)) {
                    this.formed = true;
                    this.heardMs = nowMs;
                }
                return [message];
        }
    }

    private recover(recovered: StorageRecovered, nowMs: number): readonly Message[] {
        const members = recoveredMembers(recovered);
        this.formed = recovered.term > 0 || members.length > 0;
        this.noteListed(members);
        this.heardMs = nowMs;
        return [recovered, this.timer(nowMs), ...this.announce(members)];
    }

    /** Follows the members to where they are now, and tells other pipes where that wants it. */
    private announce(members: readonly Member[]): readonly Message[] {
        if (members.length === 0) {
            return [];
        }
        this.members = members;
        const addresses = members.map(({ address }) => address);
        return this.options.openMembership === true
            ? [{ kind: ControlKind.MembersAgreed, addresses } as ControlMembersAgreed]
            : [];
    }

    private noteListed(members: readonly Member[]): void {
        this.listed = isReachableMember(members, this.options.self);
        if (this.listed) {
            this.named.clear();
        }
    }

    private ask(nowMs: number): readonly Message[] {
        if (this.listed && nowMs - this.heardMs < silenceMs) {
            return [this.timer(nowMs)];
        }
        const founding = this.foundingMembers(nowMs);
        if (founding !== undefined) {
            this.formed = true;
            this.listed = true;
            return [{ kind: MemberKind.Form, members: founding } as Message];
        }
        const { self } = this.options;
        const others = [...this.seeds, ...this.formed ? [] : this.askers.values(), ...this.named.values()];
        const targets = new Map([...others, ...this.members].map(target => [target.address, target]));
        targets.delete(self.address);
        const requests = [...targets.values()].map(({ memberId, address }) => {
            const to = { memberId, address, incarnation: "" };
            return send({ kind: LogKind.JoinRequest, from: self, to, term: 0, callId: "" });
        });
        // A leader that came back under another address has nobody else to ask.
        const own = this.formed ? [send({ kind: LogKind.JoinRequest, from: self, to: self, term: 0, callId: "" })] : [];
        return [...requests, ...own, this.timer(nowMs)];
    }

    /** The members of a new cluster, if this instance may found it now. */
    private foundingMembers(nowMs: number): readonly Member[] | undefined {
        const { self, initialMembers } = this.options;
        if (this.formed || this.options.mayFound === false || initialMembers[0]?.memberId !== self.memberId) {
            return undefined;
        }
        const empty = [...initialMembers.slice(1), ...this.askers.values()]
            .map(({ memberId }) => this.emptyPeers.get(memberId))
            .filter(peer => peer !== undefined && nowMs - peer.heardMs <= joinAnswerValidityMs)
            .map(peer => peer!.member);
        if (!initialMembers.slice(1).every(({ memberId }) => empty.some(member => member.memberId === memberId))) {
            this.initialReadyMs = Infinity;
            return undefined;
        }
        this.initialReadyMs = Math.min(this.initialReadyMs, nowMs);
        const members = [self, ...empty].slice(0, maximumMembers);
        const enough = members.length >= tolerantSize(this.options.tolerance ?? 0);
        return enough || nowMs - this.initialReadyMs >= moreMembersMs ? members : undefined;
    }

    private noteAsker({ memberId, address }: Member): void {
        const { self, initialMembers, openMembership } = this.options;
        const named = memberId === self.memberId || initialMembers.some(initial => initial.memberId === memberId);
        if (openMembership === true && !named && !this.formed) {
            this.askers.set(memberId, { memberId, address });
        }
    }

    private answer(request: JoinRequest): Message {
        const { self } = this.options;
        const head = { from: self, to: request.from, term: 0, callId: request.callId };
        return send({ ...head, kind: LogKind.JoinAnswer, formed: this.formed, members: this.members });
    }

    private note(answer: JoinAnswer, nowMs: number): readonly Message[] {
        const { memberId } = answer.from;
        answer.members.forEach(member => this.named.set(member.address, member));
        if (answer.formed) {
            this.emptyPeers.delete(memberId);
        }
        else if (this.askers.has(memberId) || this.options.initialMembers.some(found => found.memberId === memberId)) {
            this.emptyPeers.set(memberId, { member: answer.from, heardMs: nowMs });
        }
        return [];
    }

    private timer(nowMs: number): Message {
        const intervalMs = this.listed ? silentJoinIntervalMs : joinIntervalMs;
        return setDeadline("control.form", nowMs + intervalMs, { kind: MemberKind.FormDue });
    }
}
