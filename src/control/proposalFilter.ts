/** Answers proposals once their entry is applied or leadership is lost. */
import { ProposalStatus } from "../model/controlMessages.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { type EntryAppended, type EntryApplied, MemberKind, MemberRole, type TermChanged } from "./memberMessages.ts";
import { proposalEnded } from "./proposalEnded.ts";

interface PendingProposal {
    readonly proposalId: string;
    readonly term: number;
}

type ProposalInput = TermChanged | EntryAppended | EntryApplied;

export class ProposalFilter implements Filter<ProposalInput, Message> {
    readonly step = "answer";
    readonly accepts = [MemberKind.TermChanged, MemberKind.EntryAppended, MemberKind.EntryApplied];
    private readonly pending = new Map<number, PendingProposal>();

    process(message: ProposalInput): readonly Message[] {
        switch (message.kind) {
            case MemberKind.EntryAppended:
                this.pending.set(message.index, message);
                return [];
            case MemberKind.EntryApplied:
                return this.answerProposal(message);
            case MemberKind.TermChanged:
                return message.role === MemberRole.Leader ? [message] : [message, ...this.abandonPending(message)];
        }
    }

    private answerProposal({ index, term, result }: EntryApplied): readonly Message[] {
        const pending = this.pending.get(index);
        this.pending.delete(index);
        return pending === undefined || pending.term !== term
            ? []
            : [proposalEnded(pending.proposalId, result.status, result)];
    }

    private abandonPending({ leader }: TermChanged): readonly Message[] {
        const abandoned = [...this.pending.values()];
        this.pending.clear();
        const detail = "leadership was lost before the change was committed; send it again with the same operation id";
        const parts = { detail, leaderAddress: leader?.address };
        return abandoned.map(({ proposalId }) => proposalEnded(proposalId, ProposalStatus.Unknown, parts));
    }
}
