/** First step for peer messages: the member's term and role. */
import {
    type ControlChangeMember,
    ControlKind,
    type ControlPropose,
    ProposalStatus,
} from "../model/controlMessages.ts";
import { LogKind, type PeerMessage } from "../model/logMessages.ts";
import type { Member } from "../model/replicatedLog.ts";
import { StorageKind, type StorageRecovered, WriteKind } from "../model/storageMessages.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import {
    memberKey,
    MemberKind,
    MemberRole,
    type TermChanged,
    type TermEvent,
    termEvent,
    writeMessage,
} from "./memberMessages.ts";
import { proposalEnded } from "./proposalEnded.ts";
import { refuseStaleRequest } from "./refuseStaleRequest.ts";

type TermInput = StorageRecovered | PeerMessage | TermEvent | ControlPropose | ControlChangeMember;

/**
 * Owns term and role. Messages of an older term are refused, a newer term is adopted, and whatever passes on belongs to
 * the current term; so the filters behind it need no term check of their own.
 */
export class TermFilter implements Filter<TermInput, Message> {
    readonly step = "term";
    readonly accepts = [
        StorageKind.Recovered,
        LogKind.VoteRequest,
        LogKind.VoteAnswer,
        LogKind.AppendRequest,
        LogKind.AppendAnswer,
        LogKind.SnapshotRequest,
        LogKind.SnapshotAnswer,
        MemberKind.Campaign,
        MemberKind.Elected,
        MemberKind.QuorumLost,
        ControlKind.Propose,
        ControlKind.ChangeMember,
    ];
    private readonly self: Member;
    private term = 0;
    private role: MemberRole = MemberRole.Follower;
    private leader: Member | undefined;

    constructor(self: Member) {
        this.self = self;
    }

    process(message: TermInput): readonly Message[] {
        switch (message.kind) {
            case StorageKind.Recovered:
                this.term = message.term;
                return [message, this.termChanged()];
            case MemberKind.Campaign:
                return this.campaign(message.term);
            case MemberKind.Elected:
                return this.startLeading(message.term);
            case MemberKind.QuorumLost:
                return this.stepDown(message.term);
            case ControlKind.Propose:
            case ControlKind.ChangeMember:
                return this.handleProposal(message);
            default:
                return this.receivePeerMessage(message as PeerMessage);
        }
    }

    private receivePeerMessage(message: PeerMessage): readonly Message[] {
        // A message for another incarnation was meant for a disk that no longer exists. Answering it would let this
        // member act for promises that it has lost.
        if (memberKey(message.to) !== memberKey(this.self)) {
            return [];
        }
        if (message.kind === LogKind.VoteRequest && message.preVote) {
            // It names a term that nobody has opened yet, which must not raise the receiver's term.
            return [message];
        }
        if (message.kind === LogKind.VoteAnswer && message.preVote && message.term <= this.term) {
            return [message];
        }
        if (message.term < this.term) {
            return refuseStaleRequest(message, this.self, this.term);
        }
        const adopted = message.term > this.term ? this.adoptTerm(message.term) : [];
        return [...adopted, ...this.followLeader(message), message];
    }

    private adoptTerm(term: number): readonly Message[] {
        this.term = term;
        this.role = MemberRole.Follower;
        this.leader = undefined;
        return [writeMessage({ kind: WriteKind.Term, term, votedFor: undefined }), this.termChanged()];
    }

    private followLeader(message: PeerMessage): readonly Message[] {
        if (message.kind !== LogKind.AppendRequest && message.kind !== LogKind.SnapshotRequest) {
            return [];
        }
        if (this.role === MemberRole.Leader) {
            throw new Error(`step=${this.step} peer=${message.from.memberId}: second leader in term ${this.term}`);
        }
        const leaderHeard = { kind: MemberKind.LeaderHeard };
        if (this.role === MemberRole.Follower && this.leader !== undefined) {
            return [leaderHeard];
        }
        this.role = MemberRole.Follower;
        this.leader = message.from;
        return [this.termChanged(), leaderHeard];
    }

    private campaign(term: number): readonly Message[] {
        if (term !== this.term + 1 || this.role === MemberRole.Leader) {
            return [];
        }
        this.term = term;
        this.role = MemberRole.Candidate;
        this.leader = undefined;
        return [this.termChanged(), termEvent(MemberKind.CandidacyOpened, term)];
    }

    private startLeading(term: number): readonly Message[] {
        if (term !== this.term || this.role !== MemberRole.Candidate) {
            return [];
        }
        this.role = MemberRole.Leader;
        this.leader = this.self;
        return [this.termChanged()];
    }

    private stepDown(term: number): readonly Message[] {
        if (term !== this.term || this.role !== MemberRole.Leader) {
            return [];
        }
        this.role = MemberRole.Follower;
        this.leader = undefined;
        return [this.termChanged()];
    }

    private handleProposal(proposal: ControlPropose | ControlChangeMember): readonly Message[] {
        if (this.role === MemberRole.Leader) {
            return [proposal];
        }
        return [proposalEnded(proposal.proposalId, ProposalStatus.NotLeader, {
            detail: "this instance does not lead; ask the leader",
            leaderAddress: this.leader?.address,
        })];
    }

    private termChanged(): TermChanged {
        return { kind: MemberKind.TermChanged, term: this.term, role: this.role, leader: this.leader };
    }
}
