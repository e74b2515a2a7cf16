/** Which databases lag behind the log positions that reads need, and when one of them may be tried again. */
import { comparePositions, hasReached, type Position } from "../model/position.ts";

/** Lag of a replica that counts as usual: replicas apply within tens of milliseconds, plus the way of the reports. */
const usualLagMs = 200;

/** Time after which an unanswered trial no longer keeps others from being made. */
const trialTimeoutMs = 500;

/** Share of the time for which a database has lagged that passes until its next trial. */
const pauseShare = 0.5;

/** A log position that a database has told. */
export interface ObservedPosition {
    readonly position: Position;
    /** Time at which the database told it, or a little later. */
    readonly atMs: number;
    /** The database lagged by at least this much then; 0 if unknown. */
    readonly lagMs: number;
}

/** Returns the time by which the primary had records beyond a position; undefined if that is unknown. */
export type PassedAt = (position: Position) => number | undefined;

/** Adds what an instance knows of the primary to an observation. */
export function withKnownLag({ position, atMs, lagMs }: ObservedPosition, passedAtMs: PassedAt): ObservedPosition {
    return { position, atMs, lagMs: Math.max(lagMs, atMs - (passedAtMs(position) ?? atMs)) };
}

/** Returns whether a database lagged by more than usual when it was observed. */
export function isFarBehind({ lagMs }: ObservedPosition): boolean {
    return lagMs > usualLagMs;
}

export interface ReplicaLagOptions {
    /** Shortest and longest pause between two trials of a database that lags. */
    readonly minimumPauseMs: number;
    readonly maximumPauseMs: number;
    /** Shortest pause if the database lags by more than usual; the minimum by default. */
    readonly farBehindPauseMs?: number;
}

interface LagEntry {
    observed: ObservedPosition | undefined;
    /** Lowest floor that the database has refused and not been seen to reach since. */
    refusedFloor: Position | undefined;
    /** Time since which it has refused floors without a break. */
    refusedSinceMs: number;
    /** Time of the newest evidence about the database. */
    heardAtMs: number;
    /** Start of the trial that is in progress. */
    trialStartedMs: number;
}

/**
 * Load answered: many readers and a replica that lags for seconds. Each of them would find out with a read of its own,
 * again and again. A database is left out for reads that it cannot have reached by what it has told, and is tried again
 * by one read at a time after pauses that grow while it lags.
 */
export class ReplicaLag {
    private readonly options: ReplicaLagOptions;
    private readonly entries = new Map<string, LagEntry>();

    constructor(options: ReplicaLagOptions) {
        this.options = options;
    }

    /** Records a position that a database has told. Older observations than the known one are ignored. */
    recordPosition(databaseId: string, observed: ObservedPosition): void {
        const entry = this.entryOf(databaseId);
        if (entry.observed !== undefined && entry.observed.atMs > observed.atMs) {
            return;
        }
        entry.observed = observed;
        entry.heardAtMs = Math.max(entry.heardAtMs, observed.atMs);
        if (entry.refusedFloor !== undefined && hasReached(observed.position, entry.refusedFloor)) {
            entry.refusedFloor = undefined;
        }
    }

    /** Records that a database has refused a read because it has not reached its floor. */
    recordRefusal(databaseId: string, floor: Position, nowMs: number): void {
        const entry = this.entryOf(databaseId);
        if (hasReachedFloor(entry, floor)) {
            // The database may have lost records, or an observation was false.
            entry.observed = undefined;
        }
        if (entry.refusedFloor === undefined) {
            entry.refusedSinceMs = nowMs;
            entry.refusedFloor = floor;
        }
        else if (comparePositions(floor, entry.refusedFloor) < 0) {
            entry.refusedFloor = floor;
        }
        entry.heardAtMs = nowMs;
    }

    /** Records that a read was sent to a database; counts as its trial if the database lags. */
    recordPlaced(databaseId: string, floor: Position, nowMs: number): void {
        const entry = this.entries.get(databaseId);
        if (entry !== undefined && !hasReachedFloor(entry, floor)) {
            entry.trialStartedMs = nowMs;
        }
    }

    /** Records that a trial has ended, whatever its result. */
    recordTrialEnd(databaseId: string): void {
        const entry = this.entries.get(databaseId);
        if (entry !== undefined) {
            entry.trialStartedMs = -Infinity;
        }
    }

    /** Returns the newest position that a database has told. */
    observed(databaseId: string): ObservedPosition | undefined {
        return this.entries.get(databaseId)?.observed;
    }

    remove(databaseId: string): void {
        this.entries.delete(databaseId);
    }

    /**
     * Returns the time until which a database gets no read with this floor; undefined if it may get one now.
     * @param patienceShare share of the pause to wait for; above 1 to spread the trials of many instances
     */
    avoidedUntilMs(
        databaseId: string,
        floor: Position,
        passedAtMs: PassedAt,
        nowMs: number,
        patienceShare = 1,
    ): number | undefined {
        const entry = this.entries.get(databaseId);
        if (entry === undefined || hasReachedFloor(entry, floor)) {
            return undefined;
        }
        const observed = entry.observed === undefined ? undefined : withKnownLag(entry.observed, passedAtMs);
        const hasRefused = entry.refusedFloor !== undefined && hasReached(floor, entry.refusedFloor);
        const lagsFar = observed !== undefined && isFarBehind(observed);
        if (!hasRefused && !lagsFar) {
            return undefined;
        }
        const { minimumPauseMs, maximumPauseMs, farBehindPauseMs = minimumPauseMs } = this.options;
        const laggingForMs = Math.max(
            hasRefused ? entry.heardAtMs - entry.refusedSinceMs : 0,
            observed?.lagMs ?? 0,
        );
        const pauseMs = Math.max(lagsFar ? farBehindPauseMs : minimumPauseMs, pauseShare * laggingForMs);
        const untilMs = Math.max(
            entry.heardAtMs + patienceShare * Math.min(maximumPauseMs, pauseMs),
            entry.trialStartedMs + trialTimeoutMs,
        );
        return untilMs > nowMs ? untilMs : undefined;
    }

    private entryOf(databaseId: string): LagEntry {
        const existing = this.entries.get(databaseId);
        if (existing !== undefined) {
            return existing;
        }
        const entry: LagEntry = {
            observed: undefined,
            refusedFloor: undefined,
            refusedSinceMs: -Infinity,
            heardAtMs: -Infinity,
            trialStartedMs: -Infinity,
        };
        this.entries.set(databaseId, entry);
        return entry;
    }
}

function hasReachedFloor({ observed }: LagEntry, floor: Position): boolean {
    return observed !== undefined && hasReached(observed.position, floor);
}
