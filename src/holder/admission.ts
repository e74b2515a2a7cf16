/** Decides whether a statement without a connection of its own may wait for one. */
import type { DatabaseView } from "../model/clusterMessages.ts";
import { DatabaseRole } from "../model/database.ts";
import type { HolderRequest } from "../model/holderMessages.ts";
import { type Outcome, OutcomeKind } from "../model/outcome.ts";
import { type Refusal, RefusalCode } from "../model/refusal.ts";
import { StatementKind } from "../model/statement.ts";
import { refusedOutcome } from "./answers.ts";

export const acquireStep = "acquire";

/** Time for which a slow confirmation speaks against new writes; after it one write is let through to measure again. */
const confirmationLagValidMs = 1_000;

/** Time after which a draining holder has normally been replaced. */
const drainRetryAfterMs = 100;

/** What admission depends on, at one moment. */
export interface AdmissionState {
    readonly view: DatabaseView;
    readonly draining: boolean;
    /** Nothing more is sent to the database. */
    readonly stopped: boolean;
    readonly unreachable: boolean;
    /** Expected time until a slot is free for the statement. */
    readonly expectedWaitMs: number;
    readonly confirmationLag: { readonly lagMs: number; readonly measuredAtMs: number; };
}

/** Refuses as not run what cannot or must not run here; undefined admits. */
export function checkAdmission(request: HolderRequest, state: AdmissionState, nowMs: number): Outcome | undefined {
    const { view } = state;
    const reject = (code: RefusalCode, parts: Partial<Refusal> = {}): Outcome =>
        refusedOutcome(code, acquireStep, { peer: view.databaseId, ...parts });
    const isPrimary = view.role === DatabaseRole.Primary;
    if (state.stopped || (state.draining && pinsSession(request))) {
        return reject(RefusalCode.ShuttingDown, { retryAfterMs: drainRetryAfterMs });
    }
    if (request.statementKind !== StatementKind.Read && !isPrimary) {
        return reject(RefusalCode.NoPrimary);
    }
    if (!view.available) {
        return reject(isPrimary ? RefusalCode.NoPrimary : RefusalCode.NoFreshReplica, {
            detail: "departing or silent",
        });
    }
    if (state.unreachable) {
        return reject(RefusalCode.ConnectFailed, { detail: view.address });
    }
    const lateMs = expectedLatenessMs(request, state, nowMs);
    return lateMs > 0 ? reject(RefusalCode.Overloaded, { retryAfterMs: lateMs }) : undefined;
}

/** Outcome of a statement whose session has no connection here, if it must not run on a fresh one. */
export function outcomeWithoutLink(request: HolderRequest, linkWasLost: boolean, peer: string): Outcome | undefined {
    const isCommit = request.statementKind === StatementKind.Commit;
    if (request.statementKind === StatementKind.Rollback) {
        return noOpOutcome;
    }
    // A sender that does not track sessions may commit a transaction that an earlier holder lost.
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
