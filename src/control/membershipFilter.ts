/** Membership changes of the control cluster, one at a time. */
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

/** Time without an answer after which a member is removed without a replacement; longer than a restart or a pause. */
const silentMemberTimeoutMs = 3_000;

/**
 * Time for which an instance that would make the number of members even waits until the member that it replaces counts
 * as silent. Longer than the time after which a member counts as silent and a few join requests.
 */
const evenSizeWaitMs = 2_000;

export interface MembershipFilterOptions {
    /** Ids of the control members in the settings, which join without an operator. */
    readonly configuredMemberIds: readonly string[];
    /**
     * Any authenticated instance with a data folder may join, and replaces a silent member. For fleets whose machines
     * are replaced at new addresses without an operator. By default false.
     */
    readonly replacesSilentMembers?: boolean;
    /** Disks that may be lost at the same time; by default 0. */
    readonly faultTolerance?: number;
}

type MembershipInput = TermChanged | JoinAsked | ChangeAsked | MembersSilent;

/**
 * A joining instance first receives the log as a learner, without a vote. It becomes a member once it has synced all
 * committed entries. It replaces another member in two changes, because the majorities before and after a change must
 * have a member in common. The old incarnation of a wiped member is removed before the new one is added, unless too few
 * members would be left for the fault tolerance. A silent member is removed after its replacement was added: it may
 * still be alive, and another member may be lost in the meantime.
 */
export class MembershipFilter implements Filter<MembershipInput, Message> {
    readonly step = "membership";
    readonly accepts = [MemberKind.TermChanged, MemberKind.JoinAsked, MemberKind.ChangeAsked, MemberKind.MembersSilent];
    private readonly options: MembershipFilterOptions;
    private readonly faultTolerance: number;
    /** Key of the silent member that the last joining instance replaces. */
    private replacedMemberKey: string | undefined;
    /** Pending additions that operators asked for: proposal id by member id. */
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
        if (wiped !== undefined && this.canRemoveReplaced(members)) {
            return [appendMembers(asked, without(members, wiped), undefined)];
        }
        const [longestSilent] = asked.silent;
        this.replacedMemberKey = longestSilent === undefined ? undefined : memberKey(longestSilent.member);
        if (members.length >= maximumMembers || wiped === undefined && this.shouldWaitForSilentMember(asked)) {
            return [];
        }
        const proposalId = this.pendingAdditions.get(joiner.memberId);
        this.pendingAdditions.delete(joiner.memberId);
        return [appendMembers(asked, [...members, joiner], proposalId)];
    }

    // An even number of members tolerates no more losses than one less, and fewer while the replaced member is listed.
    private shouldWaitForSilentMember({ members, silent, trackedForMs }: JoinAsked): boolean {
        return this.options.replacesSilentMembers === true
            && silent.length === 0
            && members.length >= faultTolerantSize(this.faultTolerance)
            && members.length % 2 === 1
            && trackedForMs < evenSizeWaitMs;
    }

    // The voters stay the same, so one change is enough.
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
        const remaining = members.filter(member => member.memberId !== memberId);
        if (remaining.length === members.length) {
            return [proposalEnded(proposalId, ProposalStatus.Invalid, { detail: `"${memberId}" is not a member` })];
        }
        if (remaining.length === 0) {
            return [proposalEnded(proposalId, ProposalStatus.Invalid, { detail: "the last member cannot be removed" })];
        }
        return [appendMembers(asked, remaining, proposalId)];
    }

    /**
     * Removes a silent member, which only raises the size of the majority, if enough members remain. Otherwise the
     * member stays, because it may return before a replacement joins.
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
                ? this.canRemoveReplaced(members)
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

    /** The disk of the replaced incarnation is one of the tolerated losses, so the others need to tolerate one less. */
    private canRemoveReplaced(members: readonly Member[]): boolean {
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
