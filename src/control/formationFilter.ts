/** How an instance with an empty disk becomes a member, and how a new cluster forms. */
import { type JoinAnswer, type JoinRequest, LogKind, type PeerMessage, send } from "../model/logMessages.ts";
import { EntryKind, type Member } from "../model/replicatedLog.ts";
import { StorageKind, type StorageRecovered } from "../model/storageMessages.ts";
import { setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { isReachableMember, memberKey, MemberKind, type MembersChanged, type TimerEvent } from "./memberMessages.ts";

/** Interval at which an instance asks to join until it is a member. */
export const joinIntervalMs = 1_000;

/** Age up to which a peer's word that its disk is empty counts: two intervals and some delay. */
const joinAnswerValidityMs = 2_500;

/** A control member by its settings; its incarnation is learned from the instance itself. */
export interface InitialMember {
    readonly memberId: string;
    readonly address: string;
}

export interface FormationFilterOptions {
    readonly self: Member;
    /** Equal on all control members; the first one founds the cluster. */
    readonly initialMembers: readonly InitialMember[];
}

type FormationInput = StorageRecovered | TimerEvent | PeerMessage | MembersChanged;

/**
 * The first of the initial members founds the cluster once every other one says that its disk is empty too. A founder
 * whose disk was wiped hears from a peer that the cluster exists, and joins it instead of founding a second one.
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
    ];
    private readonly options: FormationFilterOptions;
    /** This instance takes part in a cluster, or may have promised something to one. */
    private formed = false;
    /** This incarnation was seen in the list of members under its present address, so it need not ask to join. */
    private listed = false;
    private readonly emptyPeers = new Map<string, { readonly member: Member; readonly heardMs: number; }>();

    constructor(options: FormationFilterOptions) {
        this.options = options;
    }

    process(message: FormationInput, nowMs: number): readonly Message[] {
        switch (message.kind) {
            case StorageKind.Recovered:
                return this.recover(message, nowMs);
            case MemberKind.FormDue:
                return this.ask(nowMs);
            case MemberKind.MembersChanged:
                this.listed ||= isReachableMember(message.members, this.options.self);
                return [];
            case LogKind.JoinRequest:
                return [this.answer(message), message];
            case LogKind.JoinAnswer:
                return this.note(message, nowMs);
            default:
                this.formed ||= memberKey((message as PeerMessage).to) === memberKey(this.options.self);
                return [message];
        }
    }

    private recover(recovered: StorageRecovered, nowMs: number): readonly Message[] {
        const entry = recovered.entries.findLast(found => found.body.kind === EntryKind.Members);
        const members = entry?.body.kind === EntryKind.Members ? entry.body.members : recovered.snapshot?.members ?? [];
        this.formed = recovered.term > 0 || members.length > 0;
        this.listed = isReachableMember(members, this.options.self);
        return this.listed ? [recovered] : [recovered, this.timer(nowMs)];
    }

    private ask(nowMs: number): readonly Message[] {
        if (this.listed) {
            return [];
        }
        const founding = this.foundingMembers(nowMs);
        if (founding !== undefined) {
            this.formed = true;
            this.listed = true;
            return [{ kind: MemberKind.Form, members: founding } as Message];
        }
        const { self, initialMembers } = this.options;
        const requests = initialMembers.filter(({ memberId }) => memberId !== self.memberId).map(initial =>
            send({ kind: LogKind.JoinRequest, from: self, to: { ...initial, incarnation: "" }, term: 0, callId: "" })
        );
        return [...requests, this.timer(nowMs)];
    }

    /** The members of a new cluster, if this instance may found it now. */
    private foundingMembers(nowMs: number): readonly Member[] | undefined {
        const { self, initialMembers } = this.options;
        if (this.formed || initialMembers[0]?.memberId !== self.memberId) {
            return undefined;
        }
        const others = initialMembers.slice(1).map(({ memberId }) => this.emptyPeers.get(memberId));
        return others.every(other => other !== undefined && nowMs - other.heardMs <= joinAnswerValidityMs)
            ? [self, ...others.map(other => other!.member)]
            : undefined;
    }

    private answer(request: JoinRequest): Message {
        const { self } = this.options;
        const head = { from: self, to: request.from, term: 0, callId: request.callId };
        return send({ ...head, kind: LogKind.JoinAnswer, formed: this.formed });
    }

    private note(answer: JoinAnswer, nowMs: number): readonly Message[] {
        const { memberId } = answer.from;
        if (answer.formed) {
            this.emptyPeers.delete(memberId);
        }
        else if (this.options.initialMembers.some(initial => initial.memberId === memberId)) {
            this.emptyPeers.set(memberId, { member: answer.from, heardMs: nowMs });
        }
        return [];
    }

    private timer(nowMs: number): Message {
        return setDeadline("control.form", nowMs + joinIntervalMs, { kind: MemberKind.FormDue });
    }
}
