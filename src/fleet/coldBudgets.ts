/**
 * Grants, on the control leader, the right to send tasks to cold databases: over all instances together, no more of them may
 * be used in any window than such a database bears.
 *
 * An instance uses a grant within `coldGrantValidityMs` of the sending of its request, so not later than that after the
 * time at which the grant was counted here. What may be used in one window was therefore granted within the window and that
 * time before it. A member grants only within `leaseMs` of proposing a read barrier that the members committed. A later
 * leader was elected after that, and grants nothing until this lease, all grants under it and the window are over.
 */
import { match } from "ts-pattern";
import { coldGrantValidityMs, coldLimit, type ColdTolerance, coldWindowMs } from "../model/coldLimits.ts";
import {
    CommandKind,
    ControlKind,
    type ControlLeaderChanged,
    type ControlProposalEnded,
    type ControlPropose,
    ProposalStatus,
} from "../model/controlMessages.ts";
import {
    type DatabaseChanged,
    type DatabaseRemoved,
    type FleetFrame,
    FleetKind,
    type FrameReceived,
    type PolicyApplied,
} from "../model/fleetMessages.ts";
import type { ServicePolicy } from "../model/trafficPolicy.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { sendFrame } from "./attachments.ts";

/** Time from the proposal of a barrier that was committed in which this member may grant. */
const leaseMs = 600;

/** Age of the last barrier above which a request makes this member propose another one; leaves time for it to commit. */
const renewalAgeMs = 250;

/** Time after which a barrier is proposed again that has not ended. */
const barrierTimeoutMs = 1_000;

/** Allowance for clocks that run at different rates. */
const driftShare = 0.02;

/** Time for which what was granted counts. */
export const accountedMs = (coldWindowMs + coldGrantValidityMs) * (1 + driftShare);

/** Part of that time in which no more than the same part of the limit is granted, so that tasks are spread over it. */
const spreadShare = 0.2;

/** Time after which a new leader grants: everything under the lease of an earlier one is over. */
export const takeOverMs = leaseMs * (1 + driftShare) + accountedMs;

type ColdWant = Extract<FleetFrame, { readonly kind: "cold_want"; }>;
type BudgetsInput =
    | ControlLeaderChanged
    | ControlProposalEnded
    | FrameReceived
    | PolicyApplied
    | DatabaseChanged
    | DatabaseRemoved;

interface Issue {
    readonly atMs: number;
    readonly count: number;
}

export interface ColdBudgetsOptions {
    readonly tolerance: ColdTolerance;
}

export class ColdBudgets implements Filter<BudgetsInput, Message> {
    readonly step = "cold_budgets";
    readonly accepts = [
        ControlKind.LeaderChanged,
        ControlKind.ProposalEnded,
        FleetKind.FrameReceived,
        FleetKind.PolicyApplied,
        FleetKind.DatabaseChanged,
        FleetKind.DatabaseRemoved,
    ];
    private readonly tolerance: ColdTolerance;
    private services: ReadonlyMap<string, ServicePolicy> = new Map();
    private readonly serviceByDatabase = new Map<string, string>();
    /** What was granted and still counts, oldest first, by database, the one with the oldest last grant first. */
    private readonly issued = new Map<string, readonly Issue[]>();
    private leading = false;
    private leadingSinceMs = 0;
    private leaseUntilMs = -Infinity;
    private barrier: { readonly proposalId: string; readonly proposedMs: number; } | undefined;
    private lastBarrierMs = -Infinity;
    private nextProposal = 0;

    constructor({ tolerance }: ColdBudgetsOptions) {
        this.tolerance = tolerance;
    }

    process(message: BudgetsInput, nowMs: number): readonly Message[] {
        return match<BudgetsInput, readonly Message[]>(message)
            .with({ kind: ControlKind.LeaderChanged }, matched => {
                this.changeLeader(matched, nowMs);
                return [matched];
            })
            .with({ kind: ControlKind.ProposalEnded }, matched => this.endBarrier(matched))
            .with(
                { kind: FleetKind.FrameReceived, frame: { kind: "cold_want" } },
                ({ attachmentId, frame }) => this.answer(attachmentId, frame, nowMs),
            )
            .with({ kind: FleetKind.PolicyApplied }, matched => {
                this.services = matched.policy.services;
                return [matched];
            })
            .with({ kind: FleetKind.DatabaseChanged }, matched => {
                this.serviceByDatabase.set(matched.report.databaseId, matched.report.service);
                return [matched];
            })
            .with({ kind: FleetKind.DatabaseRemoved }, matched => {
                this.serviceByDatabase.delete(matched.databaseId);
                return [matched];
            })
            .otherwise(other => [other]);
    }

    private changeLeader({ leading }: ControlLeaderChanged, nowMs: number): void {
        this.leading = leading;
        this.leadingSinceMs = nowMs;
        this.leaseUntilMs = -Infinity;
        this.lastBarrierMs = -Infinity;
        this.barrier = undefined;
        // What was granted before is over when this member grants again.
        this.issued.clear();
    }

    private answer(attachmentId: string, { sequence, wants }: ColdWant, nowMs: number): readonly Message[] {
        if (!this.leading) {
            return [];
        }
        const mayGrant = nowMs >= this.leadingSinceMs + takeOverMs && nowMs < this.leaseUntilMs;
        const grants = wants.map(([databaseId, count]) =>
            [databaseId, mayGrant ? this.take(databaseId, count, nowMs) : 0] as const
        );
        return [
            sendFrame(attachmentId, { kind: "cold_grant", sequence, validMs: coldGrantValidityMs, grants }),
            ...this.renewLease(nowMs),
        ];
    }

    /** A database that has not reported to this member gets nothing, because its limit is unknown. */
    private take(databaseId: string, wanted: number, nowMs: number): number {
        const service = this.serviceByDatabase.get(databaseId);
        if (service === undefined) {
            return 0;
        }
        const limit = coldLimit(this.services.get(service), this.tolerance);
        this.forgetUncounted(nowMs);
        const counted = (this.issued.get(databaseId) ?? []).filter(({ atMs }) => nowMs - atMs <= accountedMs);
        const recent = counted.filter(({ atMs }) => nowMs - atMs <= spreadShare * accountedMs);
        const left = limit === undefined
            ? Infinity
            : Math.min(limit - countOf(counted), Math.ceil(spreadShare * limit) - countOf(recent));
        const count = Math.max(0, Math.min(wanted, left));
        if (count > 0) {
            this.issued.delete(databaseId);
            this.issued.set(databaseId, [...counted, { atMs: nowMs, count }]);
        }
        return count;
    }

    private forgetUncounted(nowMs: number): void {
        for (const [databaseId, issues] of this.issued) {
            if (nowMs - issues.at(-1)!.atMs <= accountedMs) {
                return;
            }
            this.issued.delete(databaseId);
        }
    }

    private renewLease(nowMs: number): readonly Message[] {
        const isPending = this.barrier !== undefined && nowMs - this.barrier.proposedMs < barrierTimeoutMs;
        if (isPending || nowMs - this.lastBarrierMs < renewalAgeMs) {
            return [];
        }
        const proposalId = `cold/${this.nextProposal++}`;
        this.barrier = { proposalId, proposedMs: nowMs };
        this.lastBarrierMs = nowMs;
        const command = { kind: CommandKind.ReadBarrier };
        return [{ kind: ControlKind.Propose, proposalId, operationId: "", command } as ControlPropose];
    }

    private endBarrier(ended: ControlProposalEnded): readonly Message[] {
        const { barrier } = this;
        if (barrier === undefined || ended.proposalId !== barrier.proposalId) {
            return [ended];
        }
        this.barrier = undefined;
        if (ended.status === ProposalStatus.Applied || ended.status === ProposalStatus.Conflict) {
            this.leaseUntilMs = barrier.proposedMs + leaseMs;
        }
        return [];
    }
}

function countOf(issues: readonly Issue[]): number {
    return issues.reduce((sum, { count }) => sum + count, 0);
}
