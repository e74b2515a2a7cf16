/** Decides whether a statement whose session has no pinned connection may wait for a free one. */
import type { DatabaseView } from "../model/clusterMessages.ts";
import { DatabaseRole } from "../model/database.ts";
import type { HolderRequest } from "../model/holderMessages.ts";
import { type Outcome, OutcomeKind } from "../model/outcome.ts";
import { type Refusal, RefusalCode } from "../model/refusal.ts";
import { StatementKind } from "../model/statement.ts";
import { EvacuationStage, mysqlEvacuationBoundMs } from "../scheduling/evacuations.ts";
import { refusedOutcome } from "./answers.ts";

export const acquireStep = "acquire";

/**
 * Time for which a measured confirmation lag counts against new writes. Afterwards writes are admitted again, which
 * yields a new measurement.
 */
const confirmationLagValidMs = 1_000;

/** Retry delay for callers of a draining holder: normally another instance holds the database by then. */
const drainRetryAfterMs = 100;

/** State of a held database on which admission depends. */
export interface AdmissionState {
    readonly view: DatabaseView;
    readonly draining: boolean;
    /** Whether the holder sends no more statements to the database. */
    readonly stopped: boolean;
    readonly isUnreachable: boolean;
    readonly evacuationStage: EvacuationStage;
    /** Expected time until a slot is free for the statement. */
    readonly expectedWaitMs: number;
    readonly confirmationLag: { readonly lagMs: number; readonly measuredAtMs: number; };
}

/** Refuses, as not run, a statement that must not run here or cannot run before its deadline; undefined admits it. */
export function checkAdmission(request: HolderRequest, state: AdmissionState, nowMs: number): Outcome | undefined {
    const { view } = state;
    const reject = (code: RefusalCode, fields: Partial<Refusal> = {}): Outcome =>
        refusedOutcome(code, acquireStep, { peer: view.databaseId, ...fields });
    const isPrimary = view.role === DatabaseRole.Primary;
    if (state.stopped || (state.draining && pinsSession(request))) {
        return reject(RefusalCode.ShuttingDown, { retryAfterMs: drainRetryAfterMs });
    }
    if (request.statementKind !== StatementKind.Read && !isPrimary) {
        return reject(RefusalCode.NoPrimary);
    }
    if (state.evacuationStage !== EvacuationStage.Open) {
        return reject(...evacuatedRefusal(isPrimary));
    }
    if (!view.available) {
        return reject(isPrimary ? RefusalCode.NoPrimary : RefusalCode.NoFreshReplica, {
            detail: "departing or silent",
        });
    }
    if (state.isUnreachable) {
        return reject(RefusalCode.ConnectFailed, { detail: view.address });
    }
    const lateMs = expectedLatenessMs(request, state, nowMs);
    return lateMs > 0 ? reject(RefusalCode.Overloaded, { retryAfterMs: lateMs }) : undefined;
}

/** Refusal of a statement that the sender may run elsewhere: the data centre of the database is evacuated. */
export function evacuatedRefusal(isPrimary: boolean): [code: RefusalCode, fields: Partial<Refusal>] {
    const detail = "the data centre of the database is evacuated";
    return isPrimary
        ? [RefusalCode.NoPrimary, { detail, retryAfterMs: mysqlEvacuationBoundMs }]
        : [RefusalCode.NoFreshReplica, { detail }];
}

/**
 * Returns the outcome of a statement that must not run on a new connection; undefined when it may. Called for sessions
 * that have no pinned connection here.
 */
export function outcomeWithoutLink(request: HolderRequest, linkWasLost: boolean, peer: string): Outcome | undefined {
    const isCommit = request.statementKind === StatementKind.Commit;
    if (request.statementKind === StatementKind.Rollback) {
        return noOpOutcome;
    }
    // A sender that does not track `pinned` may send a COMMIT whose transaction was lost with an earlier holder.
    if (linkWasLost || request.pinned === true || (isCommit && request.pinned === undefined)) {
        return refusedOutcome(RefusalCode.TransactionLost, acquireStep, { peer });
    }
    return isCommit ? noOpOutcome : undefined;
}

const noOpOutcome: Outcome = { kind: OutcomeKind.Done, affectedRows: 0, insertId: 0 };

function pinsSession(request: HolderRequest): boolean {
    return request.statementKind === StatementKind.Begin || request.statementKind === StatementKind.SessionState;
}

function expectedLatenessMs(request: HolderRequest, state: AdmissionState, nowMs: number): number {
    const remainingMs = request.deadlineMs - nowMs;
    const { lagMs, measuredAtMs } = state.confirmationLag;
    const lagApplies = request.statementKind === StatementKind.Write && nowMs < measuredAtMs + confirmationLagValidMs;
    return Math.max(state.expectedWaitMs, lagApplies ? lagMs : 0) - remainingMs;
}
