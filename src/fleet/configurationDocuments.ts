/**
 * Handles operators' configuration documents on the leader: commits one change at a time and serves linearizable reads.
 */
import { match } from "ts-pattern";
import { ClusterKind, type ConfigurationApplied } from "../model/clusterMessages.ts";
import {
    CommandKind,
    ControlKind,
    type ControlLeaderChanged,
    type ControlProposalEnded,
    type ControlPropose,
    ProposalStatus,
} from "../model/controlMessages.ts";
import {
    type ConfigurationDocument,
    type DocumentAnswered,
    DocumentKind,
    type DocumentLimitDue,
    type DocumentPut,
    type DocumentRead,
    DocumentResult,
    emptyDocument,
} from "../model/document.ts";
import { clearDeadline, setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { diffDocuments } from "./documentDifference.ts";

/** Time after which a request that found no majority is answered as unavailable; operators wait 2 s for a read. */
const answerTimeoutMs = 1_500;

type DocumentsInput =
    | DocumentPut
    | DocumentRead
    | DocumentLimitDue
    | ControlProposalEnded
    | ControlLeaderChanged
    | ConfigurationApplied;

interface RunningChange {
    readonly proposalId: string;
    /** The request whose document is proposed. */
    readonly proposed: DocumentPut;
    /** Requests that are answered when this change ends, the proposed one included. */
    readonly puts: readonly DocumentPut[];
}

export class ConfigurationDocuments implements Filter<DocumentsInput, Message> {
    readonly step = "documents";
    readonly accepts = [
        DocumentKind.Put,
        DocumentKind.Read,
        DocumentKind.LimitDue,
        ControlKind.ProposalEnded,
        ControlKind.LeaderChanged,
        ClusterKind.ConfigurationApplied,
    ];
    private leading = false;
    private leaderAddress: string | undefined;
    private document: ConfigurationDocument = emptyDocument;
    private waitingPuts: DocumentPut[] = [];
    private runningChange: RunningChange | undefined;
    /** Request ids of reads that wait for their read barrier, by proposal id. */
    private readonly reads = new Map<string, string>();
    /** Ids of requests without an answer. */
    private readonly unanswered = new Set<string>();
    private nextProposal = 0;

    process(message: DocumentsInput, nowMs: number): readonly Message[] {
        return match<DocumentsInput, readonly Message[]>(message)
            .with({ kind: DocumentKind.Put }, matched => this.put(matched, nowMs))
            .with({ kind: DocumentKind.Read }, matched => this.read(matched, nowMs))
            .with(
                { kind: DocumentKind.LimitDue },
                matched => this.answer(matched.requestId, DocumentResult.Unavailable),
            )
            .with({ kind: ControlKind.ProposalEnded }, matched => this.endProposal(matched))
            .with({ kind: ControlKind.LeaderChanged }, matched => [matched, ...this.changeLeader(matched)])
            .with({ kind: ClusterKind.ConfigurationApplied }, matched => {
                const { documentHeads, documentEntries } = matched.configuration;
                this.document = { ...documentHeads[0] ?? emptyDocument, entries: documentEntries };
                return [matched];
            })
            .exhaustive();
    }

    private put(put: DocumentPut, nowMs: number): readonly Message[] {
        if (!this.leading) {
            return [this.redirect(put.requestId)];
        }
        this.unanswered.add(put.requestId);
        this.waitingPuts.push(put);
        return [this.answerDeadline(put.requestId, nowMs), ...this.startChange()];
    }

    private read({ requestId }: DocumentRead, nowMs: number): readonly Message[] {
        if (!this.leading) {
            return [this.redirect(requestId)];
        }
        this.unanswered.add(requestId);
        const proposalId = this.proposalId();
        this.reads.set(proposalId, requestId);
        return [this.answerDeadline(requestId, nowMs), propose(proposalId, { kind: CommandKind.ReadBarrier })];
    }

    /** Proposes the highest waiting version; the lower ones are acknowledged together with it. */
    private startChange(): readonly Message[] {
        if (this.runningChange !== undefined || this.waitingPuts.length === 0) {
            return [];
        }
        const puts = this.waitingPuts;
        this.waitingPuts = [];
        const highest = puts.reduce((left, right) =>
            right.document.documentVersion > left.document.documentVersion ? right : left
        );
        if (highest.document.documentVersion <= this.document.documentVersion) {
            return puts.flatMap(({ requestId }) => this.answer(requestId, DocumentResult.Accepted));
        }
        const proposalId = this.proposalId();
        this.runningChange = { proposalId, proposed: highest, puts };
        return [propose(proposalId, diffDocuments(this.document, highest.document))];
    }

    private endProposal(ended: ControlProposalEnded): readonly Message[] {
        const requestId = this.reads.get(ended.proposalId);
        if (requestId !== undefined) {
            this.reads.delete(ended.proposalId);
            const decided = ended.status === ProposalStatus.Applied || ended.status === ProposalStatus.Conflict;
            const isFound = decided && this.document.documentVersion > 0;
            return this.answer(requestId, isFound ? DocumentResult.Found : DocumentResult.Unavailable);
        }
        const { runningChange } = this;
        if (runningChange?.proposalId !== ended.proposalId) {
            return [ended];
        }
        this.runningChange = undefined;
        if (ended.status === ProposalStatus.Applied) {
            const answers = runningChange.puts.flatMap(put => this.answer(put.requestId, DocumentResult.Accepted));
            return [...answers, ...this.startChange()];
        }
        if (ended.status === ProposalStatus.Conflict) {
            // A change of an earlier leader was committed first; retries on top of it.
            this.waitingPuts = [...runningChange.puts, ...this.waitingPuts];
            return this.startChange();
        }
        if (ended.status === ProposalStatus.Invalid) {
            const { proposed, puts } = runningChange;
            this.waitingPuts = [...puts.filter(put => put !== proposed), ...this.waitingPuts];
            return [...this.answer(proposed.requestId, DocumentResult.TooLarge), ...this.startChange()];
        }
        const answers = runningChange.puts.flatMap(put => this.answer(put.requestId, DocumentResult.Unavailable));
        return [...answers, ...this.startChange()];
    }

    private changeLeader({ leading, leaderAddress }: ControlLeaderChanged): readonly Message[] {
        this.leading = leading;
        this.leaderAddress = leaderAddress;
        if (leading) {
            return [];
        }
        const lost = [...this.unanswered];
        this.waitingPuts = [];
        this.runningChange = undefined;
        this.reads.clear();
        return lost.flatMap(requestId => this.answer(requestId, DocumentResult.Unavailable));
    }

    private redirect(requestId: string): DocumentAnswered {
        const result = this.leaderAddress === undefined ? DocumentResult.Unavailable : DocumentResult.Redirect;
        return {
            kind: DocumentKind.Answered,
            requestId,
            result,
            document: undefined,
            leaderAddress: this.leaderAddress,
        };
    }

    private answer(requestId: string, result: DocumentResult): readonly Message[] {
        if (!this.unanswered.delete(requestId)) {
            return [];
        }
        const document = result === DocumentResult.Found ? this.document : undefined;
        const answered: DocumentAnswered = {
            kind: DocumentKind.Answered,
            requestId,
            result,
            document,
            leaderAddress: undefined,
        };
        return [clearDeadline(deadlineKey(requestId)), answered];
    }

    private answerDeadline(requestId: string, nowMs: number): Message {
        const due: DocumentLimitDue = { kind: DocumentKind.LimitDue, requestId };
        return setDeadline(deadlineKey(requestId), nowMs + answerTimeoutMs, due);
    }

    private proposalId(): string {
        return `document/${this.nextProposal++}`;
    }
}

function propose(proposalId: string, command: ControlPropose["command"]): ControlPropose {
    return { kind: ControlKind.Propose, proposalId, operationId: "", command };
}

function deadlineKey(requestId: string): string {
    return `document/${requestId}`;
}
