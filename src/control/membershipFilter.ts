/** Changes of the control members, one at a time. */
import { ProposalStatus } from "../model/controlMessages.ts";
import type { Member } from "../model/replicatedLog.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import {
    type ChangeAsked,
    isMember,
    isMemberWithAddress,
    type JoinAsked,
    memberKey,
    MemberKind,
    MemberRole,
    type MembershipState,
    type MembersSilent,
    type TermChanged,
} from "./memberMessages.ts";
import { proposalEnded } from "./proposalEnded.ts";
import { faultTolerantSize, maximumMembers } from "./quorums.ts";

/** Silence after which a member leaves without a replacement; above a restart and a long pause. */
const silentMemberTimeoutMs = 3_000;

/**
 * Time for which a newcomer that would make the number of members even waits for the member that it replaces to be out of
 * reach; above the time after which a member counts as out of reach and a few questions.
 */
const evenSizeWaitMs = 2_000;

export interface MembershipFilterOptions {
    /** Ids of the control members by the settings; these join without an operator's order. */
    readonly configuredMemberIds: readonly string[];
    /**
     * Any authenticated instance with a data folder may join, and takes the place of a member that has gone silent.
     * For fleets whose machines are replaced at new addresses without an operator's order.
     */
    readonly replacesSilentMembers?: boolean;
    /** Disks that may be lost at one moment; none unless set. */
    readonly faultTolerance?: number;
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
    private readonly faultTolerance: number;
    /** The silent member whose place the last newcomer takes. */
    private replacedMemberKey: string | undefined;
    /** Orders to add an instance that have not been carried out: proposal id by member id. */
    private readonly pendingAdditions = new Map<string, string>();

    constructor(options: MembershipFilterOptions) {
        this.options = options;
        this.faultTolerance = options.faultTolerance ?? 0;
    }

    process(message: MembershipInput): readonly Message[] {
        switch (message.kind) {
            case MemberKind.TermChanged:
                return message.role === MemberRole.Leader ? [message] : [message, ...this.abandonPendingAdditions()];
            case MemberKind.JoinAsked:
                return this.handleJoin(message);
            case MemberKind.ChangeAsked:
                return message.action === "add" ? this.requestAddition(message) : this.removeMember(message);
            case MemberKind.MembersSilent:
                return this.removeSilentMember(message);
        }
    }

    private handleJoin(asked: JoinAsked): readonly Message[] {
        const joiner = asked.request.from;
        const { members, term } = asked;
        if (isMember(members, joiner)) {
            return this.updateAddress(asked);
        }
        if (!this.canJoin(joiner, members)) {
            return [];
        }
        if (!asked.tracked) {
            return [{ kind: MemberKind.TrackLearner, term, member: joiner } as Message];
        }
        if (!asked.caughtUp || !asked.changeable) {
            return [];
        }
        const wiped = members.find(member => member.memberId === joiner.memberId);
        if (wiped !== undefined && this.canRemoveSucceeded(members)) {
            return [appendMembers(asked, without(members, wiped), undefined)];
        }
        const [longestSilent] = asked.silent;
        this.replacedMemberKey = longestSilent === undefined ? undefined : memberKey(longestSilent.member);
        if (members.length >= maximumMembers || wiped === undefined && this.shouldWaitForRemoval(asked)) {
            return [];
        }
        const proposalId = this.pendingAdditions.get(joiner.memberId);
        this.pendingAdditions.delete(joiner.memberId);
        return [appendMembers(asked, [...members, joiner], proposalId)];
    }

    // An even number bears no more losses than one less, and fewer while the member that the newcomer replaces is listed.
    private shouldWaitForRemoval({ members, silent, trackedForMs }: JoinAsked): boolean {
        return this.options.replacesSilentMembers === true
            && silent.length === 0
            && members.length >= faultTolerantSize(this.faultTolerance)
            && members.length % 2 === 1
            && trackedForMs < evenSizeWaitMs;
    }

    // The voters stay the same, so this may happen in one change.
    private updateAddress(asked: JoinAsked): readonly Message[] {
        const joiner = asked.request.from;
        if (isMemberWithAddress(asked.members, joiner) || !asked.changeable) {
            return [];
        }
        const members = asked.members.map(member => memberKey(member) === memberKey(joiner) ? joiner : member);
        return [appendMembers(asked, members, undefined)];
    }

    private canJoin(joiner: Member, members: readonly Member[]): boolean {
        return this.options.replacesSilentMembers === true
            || this.options.configuredMemberIds.includes(joiner.memberId)
            || this.pendingAdditions.has(joiner.memberId)
            || members.some(member => member.memberId === joiner.memberId);
    }

    private requestAddition({ memberId, members, proposalId }: ChangeAsked): readonly Message[] {
        if (members.some(member => member.memberId === memberId)) {
            return [
                proposalEnded(proposalId, ProposalStatus.Conflict, { detail: `"${memberId}" is a member already` }),
            ];
        }
        if (members.length >= maximumMembers) {
            const detail = `there are ${maximumMembers} members already; remove one first`;
            return [proposalEnded(proposalId, ProposalStatus.Invalid, { detail })];
        }
        const earlier = this.pendingAdditions.get(memberId);
        this.pendingAdditions.set(memberId, proposalId);
        const detail = "a later order for the same member replaced this one";
        return earlier === undefined ? [] : [proposalEnded(earlier, ProposalStatus.Conflict, { detail })];
    }

    private removeMember(asked: ChangeAsked): readonly Message[] {
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
    private removeSilentMember(asked: MembersSilent): readonly Message[] {
        const { members, silent } = asked;
        if (this.options.replacesSilentMembers !== true) {
            return [];
        }
        const minimumMembers = Math.max(
            faultTolerantSize(this.faultTolerance),
            this.options.configuredMemberIds.length,
        );
        const leaving = silent.find(({ member, silentForMs }) =>
            this.hasSuccessor(members, member)
                ? this.canRemoveSucceeded(members)
                : members.length > minimumMembers
                    && (silentForMs >= silentMemberTimeoutMs || memberKey(member) === this.replacedMemberKey)
        );
        return leaving === undefined
            ? []
            : [appendMembers(asked, without(members, leaving.member), undefined)];
    }

    private hasSuccessor(members: readonly Member[], member: Member): boolean {
        return members.some(other => other.memberId === member.memberId && memberKey(other) !== memberKey(member));
    }

    /** Its disk counts as lost already, so the others bear one loss less. */
    private canRemoveSucceeded(members: readonly Member[]): boolean {
        return members.length >= faultTolerantSize(this.faultTolerance);
    }

    private abandonPendingAdditions(): readonly Message[] {
        const proposalIds = [...this.pendingAdditions.values()];
        this.pendingAdditions.clear();
        const detail = "leadership was lost; ask the new leader";
        return proposalIds.map(proposalId => proposalEnded(proposalId, ProposalStatus.Unknown, { detail }));
    }
}

function without(members: readonly Member[], leaving: Member): readonly Member[] {
    return members.filter(member => memberKey(member) !== memberKey(leaving));
}

function appendMembers(
    membership: MembershipState,
    members: readonly Member[],
    proposalId: string | undefined,
): Message {
    const { term, membersIndex } = membership;
    return { kind: MemberKind.AppendMembers, term, membersIndex, members, proposalId } as Message;
}
