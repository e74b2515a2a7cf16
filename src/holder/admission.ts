/** Decides whether a statement without a connection of its own may wait for one. */
import type { DatabaseView } from "../model/clusterMessages.ts";
import { DatabaseRole } from "../model/database.ts";
import type { HolderRequest } from "../model/holderMessages.ts";
import { type Outcome, OutcomeKind } from "../model/outcome.ts";
import { type Refusal, RefusalCode } from "../model/refusal.ts";
import { StatementKind } from "../model/statement.ts";
import { refused } from "./answers.ts";

export const acquireStep = "acquire";

/** Time for which a slow confirmation speaks against new writes; after it one write is let through to measure again. */
const confirmationLagValidMs = 1_000;

/** Time after which a draining holder has normally been replaced. */
const drainRetryMs = 100;

/** What admission depends on, at one moment. */
export interface AdmissionState {
    readonly view: DatabaseView;
    readonly draining: boolean;
    /** Nothing more is sent to the database. */
    readonly stopped: boolean;
    readonly unreachable: boolean;
    /** Expected time until a slot is free for the statement. */
    readonly expectedWaitMs: number;
    readonly confirmationLag: { readonly lagMs: number; readonly atMs: number; };
}

/** Refuses as not run what cannot or must not run here; undefined admits. */
export function refuseEarly(request: HolderRequest, state: AdmissionState, nowMs: number): Outcome | undefined {
    const { view } = state;
    const reject = (code: RefusalCode, parts: Partial<Refusal> = {}): Outcome =>
        refused(code, acquireStep, { peer: view.databaseId, ...parts });
    const isPrimary = view.role === DatabaseRole.Primary;
    if (state.stopped || (state.draining && opensState(request))) {
        return reject(RefusalCode.ShuttingDown, { retryAfterMs: drainRetryMs });
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
export function answerWithoutState(request: HolderRequest, wasLost: boolean, peer: string): Outcome | undefined {
    const isCommit = request.statementKind === StatementKind.Commit;
    if (request.statementKind === StatementKind.Rollback) {
        return nothingToDo;
    }
    // A sender that does not track sessions may commit a transaction that an earlier holder lost.
    if (wasLost || request.pinned === true || (isCommit && request.pinned === undefined)) {
        return refused(RefusalCode.TransactionLost, acquireStep, { peer });
    }
    return isCommit ? nothingToDo : undefined;
}

const nothingToDo: Outcome = { kind: OutcomeKind.Done, affectedRows: 0, insertId: 0 };

function opensState(request: HolderRequest): boolean {
    return request.statementKind === StatementKind.Begin || request.statementKind === StatementKind.SessionState;
}

function expectedLatenessMs(request: HolderRequest, state: AdmissionState, nowMs: number): number {
    const leftMs = request.deadlineMs - nowMs;
    const { lagMs, atMs } = state.confirmationLag;
    const lagCounts = request.statementKind === StatementKind.Write && nowMs < atMs + confirmationLagValidMs;
    return Math.max(state.expectedWaitMs, lagCounts ? lagMs : 0) - leftMs;
}
