/** Term and role of a member. Peer messages pass this filter before all others that depend on the term. */
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
 * Owns the term and the role. Refuses messages of an older term, and adopts a newer term. All other messages are passed
 * on and belong to the current term, so that the filters after this one need no check of the term.
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
        LogKind.StandRequest,
        LogKind.StandAnswer,
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
                return this.becomeCandidate(message.term);
            case MemberKind.Elected:
                return this.becomeLeader(message.term);
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
        // A message to another incarnation refers to a disk that no longer exists. An answer could contradict votes and
        // acknowledgements that were lost with that disk.
        if (memberKey(message.to) !== memberKey(this.self)) {
            return [];
        }
        if (message.kind === LogKind.VoteRequest && message.preVote) {
            // The term of a pre-vote request has not started yet, so it must not raise the term of the receiver.
            return [message];
        }
        if (message.kind === LogKind.VoteAnswer && message.preVote && message.term <= this.term) {
            return [message];
        }
        if (message.term < this.term) {
            return refuseStaleRequest(message, this.self, this.term);
        }
        const termMessages = message.term > this.term ? this.adoptTerm(message.term) : [];
        return [...termMessages, ...this.followLeader(message), message];
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

    private becomeCandidate(term: number): readonly Message[] {
        if (term !== this.term + 1 || this.role === MemberRole.Leader) {
            return [];
        }
        this.term = term;
        this.role = MemberRole.Candidate;
        this.leader = undefined;
        return [this.termChanged(), termEvent(MemberKind.CandidacyOpened, term)];
    }

    private becomeLeader(term: number): readonly Message[] {
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
