/** What the scheduling of statements tells the log. */
import type { Message } from "../pipeline/message.ts";

export const SchedulingKind = {
    PaceChanged: "scheduling.pace_changed",
    Refused: "scheduling.refused",
} as const;

/** The number of statements that a database gets at once is limited in another way than before. */
export interface PaceChanged extends Message {
    readonly kind: typeof SchedulingKind.PaceChanged;
    readonly databaseId: string;
    /** A `WindowPhase`. */
    readonly phase: string;
    readonly window: number;
    readonly slots: number;
    readonly waiting: number;
}

/** A statement was refused because it could not start before its deadline. */
export interface SchedulingRefused extends Message {
    readonly kind: typeof SchedulingKind.Refused;
    readonly databaseId: string;
    /** A `RefusalReason`. */
    readonly reason: string;
    readonly priority: number;
    /** Number of statements that may be in flight at the database, and that are. */
    readonly window: number;
    readonly inFlight: number;
    readonly slots: number;
    /** Number of statements that still wait. */
    readonly waiting: number;
    /** Time in which the statements drain that go before a new one of its priority and workspace. */
    readonly drainMs: number;
}
