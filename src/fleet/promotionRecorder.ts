/**
 * Proposes changes of what the replicated state records for promotions: the databases of each service, and the instances
 * that may have passed on acknowledgements.
 */
import {
    CommandKind,
    ControlKind,
    type ControlProposalEnded,
    type ControlPropose,
    ProposalStatus,
} from "../model/controlMessages.ts";
import type { DatabaseReport } from "../model/fleetMessages.ts";
import { promotionOf, type PromotionRecord, type RecordedDatabase } from "../model/promotion.ts";
import type { Message } from "../pipeline/message.ts";
import type { CommitWitnesses } from "./commitWitnesses.ts";
import { droppedDatabases } from "./droppedDatabases.ts";
import { isSameElectorate, updateElectorate } from "./electorate.ts";

/** Time after which a proposal that was refused, or has no result, is repeated. */
const proposalTimeoutMs = 5_000;

const witnessesSubject = "witnesses";

interface PendingProposal {
    readonly subject: string;
    readonly proposedAtMs: number;
}

export class PromotionRecorder {
    /** At most one proposal for each service and one for the instances, by proposal id. */
    private readonly pending = new Map<string, PendingProposal>();
    private nextProposal = 0;

    reset(): void {
        this.pending.clear();
    }

    owns(proposalId: string): boolean {
        return this.pending.has(proposalId);
    }

    /** The subject of a proposal that was not applied stays blocked for a while, because a repetition fails as well. */
    endProposal({ proposalId, status }: ControlProposalEnded): void {
        if (status === ProposalStatus.Applied) {
            this.pending.delete(proposalId);
        }
    }

    recordDatabases(
        records: readonly PromotionRecord[],
        reports: readonly DatabaseReport[],
        /** Recorded databases that are gone, and that no choice depends on any more, by service. */
        replaceable: ReadonlyMap<string, readonly RecordedDatabase[]>,
        nowMs: number,
    ): readonly Message[] {
        const reportsByService = new Map<string, DatabaseReport[]>();
        for (const report of reports) {
            const known = reportsByService.get(report.service);
            if (known === undefined) {
                reportsByService.set(report.service, [report]);
            }
            else {
                known.push(report);
            }
        }
        return [...reportsByService].flatMap(([service, ownReports]) => {
            const recorded = promotionOf(records, service).databases;
            const dropped = replaceable.get(service) ?? [];
            const databases = updateElectorate(recorded.filter(database => !dropped.includes(database)), ownReports);
            if (isSameElectorate(recorded, databases)) {
                return [];
            }
            const command = { kind: CommandKind.RecordDatabases, service, databases };
            const proposed = this.propose(`databases/${service}`, command, nowMs);
            return proposed.length === 0
                ? []
                : [...proposed, ...droppedDatabases(service, recorded, dropped, databases)];
        });
    }

    recordWitnesses(witnesses: CommitWitnesses, nowMs: number): readonly ControlPropose[] {
        const added = witnesses.unrecorded();
        const removed = witnesses.retired(nowMs);
        return added.length === 0 && removed.length === 0
            ? []
            : this.propose(witnessesSubject, { kind: CommandKind.RecordCommitWitnesses, added, removed }, nowMs);
    }

    private propose(subject: string, command: ControlPropose["command"], nowMs: number): readonly ControlPropose[] {
        const known = [...this.pending].find(([, pending]) => pending.subject === subject);
        if (known !== undefined && nowMs - known[1].proposedAtMs < proposalTimeoutMs) {
            return [];
        }
        this.pending.delete(known?.[0] ?? "");
        const proposalId = `promotion_record/${subject}/${this.nextProposal++}`;
        this.pending.set(proposalId, { subject, proposedAtMs: nowMs });
        return [{ kind: ControlKind.Propose, proposalId, operationId: "", command }];
    }
}
