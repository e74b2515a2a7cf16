/** Changes of the control members, one at a time. */
import { ProposalStatus } from "../model/controlMessages.ts";
import type { Member } from "../model/replicatedLog.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import {
    type ChangeAsked,
    isMember,
    isReachableMember,
    type JoinAsked,
    memberKey,
    MemberKind,
    MemberRole,
    type MembershipFacts,
    type MembersSilent,
    type TermChanged,
} from "./memberMessages.ts";
import { proposalEnded } from "./proposalEnded.ts";
import { maximumMembers, tolerantSize } from "./quorums.ts";

/** Silence after which a member leaves without a replacement; above a restart and a long pause. */
const silentMemberMs = 3_000;

/**
 * Time for which a newcomer that would make the number of members even waits for the member that it replaces to be out of
 * reach; above the time after which a member counts as out of reach and a few questions.
 */
const placePatienceMs = 2_000;

export interface MembershipFilterOptions {
    /** Ids of the control members by the settings; these join without an operator's order. */
    readonly settledIds: readonly string[];
    /**
     * Any authenticated instance with a data folder may join, and takes the place of a member that has gone silent.
     * For fleets whose machines are replaced at new addresses without an operator's order.
     */
    readonly replacesSilent?: boolean;
    /** Disks that may be lost at one moment; none unless set. */
    readonly tolerance?: number;
}

type MembershipInput = TermChanged | JoinAsked | ChangeAsked | MembersSilent;

/**
 * A newcomer first receives the log without a vote. It becomes a member after it has synced everything committed. It
 * takes the place of another member in two changes, because a majority before and a majority after a single change must
 * have a member in common. The old incarnation of a wiped member leaves first, unless too few members would be left for
 * the losses to be borne. A silent member leaves last: it may live, while another one is lost.
 */
export class MembershipFilter implements Filter<MembershipInput, Message> {
    readonly step = "membership";
    readonly accepts = [MemberKind.TermChanged, MemberKind.JoinAsked, MemberKind.ChangeAsked, MemberKind.MembersSilent];
    private readonly options: MembershipFilterOptions;
    private readonly tolerance: number;
    /** The silent member whose place the last newcomer takes. */
    private replaced: string | undefined;
    /** Orders to add an instance that have not been carried out: proposal id by member id. */
    private readonly ordered = new Map<string, string>();

    constructor(options: MembershipFilterOptions) {
        this.options = options;
        this.tolerance = options.tolerance ?? 0;
    }

    process(message: MembershipInput): readonly Message[] {
        switch (message.kind) {
            case MemberKind.TermChanged:
                return message.role === MemberRole.Leader ? [message] : [message, ...this.dropOrders()];
            case MemberKind.JoinAsked:
                return this.considerJoin(message);
            case MemberKind.ChangeAsked:
                return message.action === "add" ? this.order(message) : this.remove(message);
            case MemberKind.MembersSilent:
                return this.replaceSilent(message);
        }
    }

    private considerJoin(asked: JoinAsked): readonly Message[] {
        const joiner = asked.request.from;
        const { members, term } = asked;
        if (isMember(members, joiner)) {
            return this.updateAddress(asked);
        }
        if (!this.isAllowed(joiner, members)) {
            return [];
        }
        if (!asked.tracked) {
            return [{ kind: MemberKind.TrackLearner, term, member: joiner } as Message];
        }
        if (!asked.caughtUp || !asked.changeable) {
            return [];
        }
        const wiped = members.find(member => member.memberId === joiner.memberId);
        if (wiped !== undefined && this.mayLeaveForSuccessor(members)) {
            return [appendMembers(asked, without(members, wiped), undefined)];
        }
        const [longest] = asked.silent;
        this.replaced = longest === undefined ? undefined : memberKey(longest.member);
        if (members.length >= maximumMembers || wiped === undefined && this.waitsForPlace(asked)) {
            return [];
        }
        const proposalId = this.ordered.get(joiner.memberId);
        this.ordered.delete(joiner.memberId);
        return [appendMembers(asked, [...members, joiner], proposalId)];
    }

    // An even number bears no more losses than one less, and fewer while the member that the newcomer replaces is listed.
    private waitsForPlace({ members, silent, trackedForMs }: JoinAsked): boolean {
        return this.options.replacesSilent === true
            && silent.length === 0
            && members.length >= tolerantSize(this.tolerance)
            && members.length % 2 === 1
            && trackedForMs < placePatienceMs;
    }

    // The voters stay the same, so this may happen in one change.
    private updateAddress(asked: JoinAsked): readonly Message[] {
        const joiner = asked.request.from;
        if (isReachableMember(asked.members, joiner) || !asked.changeable) {
            return [];
        }
        const members = asked.members.map(member => memberKey(member) === memberKey(joiner) ? joiner : member);
        return [appendMembers(asked, members, undefined)];
    }

    private isAllowed(joiner: Member, members: readonly Member[]): boolean {
        return this.options.replacesSilent === true
            || this.options.settledIds.includes(joiner.memberId)
            || this.ordered.has(joiner.memberId)
            || members.some(member => member.memberId === joiner.memberId);
    }

    private order({ memberId, members, proposalId }: ChangeAsked): readonly Message[] {
        if (members.some(member => member.memberId === memberId)) {
            return [
                proposalEnded(proposalId, ProposalStatus.Conflict, { detail: `"${memberId}" is a member already` }),
            ];
        }
        if (members.length >= maximumMembers) {
            const detail = `there are ${maximumMembers} members already; remove one first`;
            return [proposalEnded(proposalId, ProposalStatus.Invalid, { detail })];
        }
        const earlier = this.ordered.get(memberId);
        this.ordered.set(memberId, proposalId);
        const detail = "a later order for the same member replaced this one";
        return earlier === undefined ? [] : [proposalEnded(earlier, ProposalStatus.Conflict, { detail })];
    }

    private remove(asked: ChangeAsked): readonly Message[] {
        const { memberId, members, proposalId } = asked;
        const rest = members.filter(member => member.memberId !== memberId);
        if (rest.length === members.length) {
            return [proposalEnded(proposalId, ProposalStatus.Invalid, { detail: `"${memberId}" is not a member` })];
        }
        if (rest.length === 0) {
            return [proposalEnded(proposalId, ProposalStatus.Invalid, { detail: "the last member cannot be removed" })];
        }
        return [appendMembers(asked, rest, proposalId)];
    }

    /**
     * A silent member only costs votes, so it leaves while the others are enough without it. Otherwise it stays, because
     * it may come back before a replacement does.
     */
    private replaceSilent(asked: MembersSilent): readonly Message[] {
        const { members, silent } = asked;
        if (this.options.replacesSilent !== true) {
            return [];
        }
        const least = Math.max(tolerantSize(this.tolerance), this.options.settledIds.length);
        const leaving = silent.find(({ member, silentForMs }) =>
            this.hasSuccessor(members, member)
                ? this.mayLeaveForSuccessor(members)
                : members.length > least && (silentForMs >= silentMemberMs || memberKey(member) === this.replaced)
        );
        return leaving === undefined
            ? []
            : [appendMembers(asked, without(members, leaving.member), undefined)];
    }

    private hasSuccessor(members: readonly Member[], member: Member): boolean {
        return members.some(other => other.memberId === member.memberId && memberKey(other) !== memberKey(member));
    }

    /** Its disk counts as lost already, so the others bear one loss less. */
    private mayLeaveForSuccessor(members: readonly Member[]): boolean {
        return members.length >= tolerantSize(this.tolerance);
    }

    private dropOrders(): readonly Message[] {
        const dropped = [...this.ordered.values()];
        this.ordered.clear();
        const detail = "leadership was lost; ask the new leader";
        return dropped.map(proposalId => proposalEnded(proposalId, ProposalStatus.Unknown, { detail }));
    }
}

function without(members: readonly Member[], leaving: Member): readonly Member[] {
    return members.filter(member => memberKey(member) !== memberKey(leaving));
}

function appendMembers(facts: MembershipFacts, members: readonly Member[], proposalId: string | undefined): Message {
    const { term, membersIndex } = facts;
    return { kind: MemberKind.AppendMembers, term, membersIndex, members, proposalId } as Message;
}
