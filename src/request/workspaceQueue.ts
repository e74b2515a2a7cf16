/** The state of the admit filter for one workspace: waiting statements, permits and the permit request in flight. */

/** Permits are prefetched for the arrivals expected in this interval, which is well within their validity. */
const prefetchIntervalMs = 60;

/** Time constant of the exponential average of the arrival rate. */
const arrivalTimeConstantMs = 500;

/** The fields of a statement that the queue reads. */
export interface QueuedStatement {
    readonly connectionId: number;
    readonly inTransaction: boolean;
}

interface PermitBatch {
    count: number;
    readonly validUntilMs: number;
}

interface InFlightRequest {
    readonly requestId: string;
    readonly sentMs: number;
}

/** State of one workspace; the admit filter deletes it once the workspace is removed and no statement waits. */
export class WorkspaceQueue<Statement extends QueuedStatement> {
    /** Statements of open transactions, which are admitted first because their transactions hold a slot and locks. */
    readonly transactionStatements = new Map<number, Statement>();
    readonly otherStatements = new Map<number, Statement>();
    permitBatches: PermitBatch[] = [];
    inFlightRequest: InFlightRequest | undefined;
    nextRequestAtMs = 0;
    /** Time for which the timer of the next permit request is set. */
    requestTimerAtMs = 0;
    settledRequestId = "";
    expiredPermits = 0;
    /** Retry delay of the last answer of the permit home; 0 if it granted all permits or did not answer. */
    shortageRetryAfterMs = 0;
    private decayedArrivals = 0;
    private lastArrivalAtMs = 0;

    get waitingCount(): number {
        return this.transactionStatements.size + this.otherStatements.size;
    }

    add(statement: Statement): void {
        (statement.inTransaction ? this.transactionStatements : this.otherStatements).set(
            statement.connectionId,
            statement,
        );
    }

    get(connectionId: number): Statement | undefined {
        return this.transactionStatements.get(connectionId) ?? this.otherStatements.get(connectionId);
    }

    remove(connectionId: number): void {
        this.transactionStatements.delete(connectionId);
        this.otherStatements.delete(connectionId);
    }

    recordArrival(nowMs: number): void {
        this.decayedArrivals = this.recentArrivals(nowMs) + 1;
        this.lastArrivalAtMs = nowMs;
    }

    /** Returns the number of statements expected within `prefetchIntervalMs`. */
    expectedArrivals(nowMs: number): number {
        return Math.floor(this.recentArrivals(nowMs) * prefetchIntervalMs / arrivalTimeConstantMs);
    }

    /** Discards expired permits and returns the number of the others. */
    countValidPermits(nowMs: number): number {
        const valid = this.permitBatches.filter(batch => batch.validUntilMs > nowMs);
        this.expiredPermits += sumPermits(this.permitBatches) - sumPermits(valid);
        this.permitBatches = valid;
        return sumPermits(valid);
    }

    /** Removes and returns the statements that can be admitted now, and consumes their permits. */
    dequeueAdmissible(nowMs: number): readonly Statement[] {
        const count = Math.min(this.countValidPermits(nowMs), this.waitingCount);
        const ready: Statement[] = [];
        for (const queue of [this.transactionStatements, this.otherStatements]) {
            for (const [connectionId, statement] of queue) {
                if (ready.length === count) {
                    break;
                }
                queue.delete(connectionId);
                ready.push(statement);
            }
        }
        this.consumePermits(count);
        return ready;
    }

    private consumePermits(count: number): void {
        let remaining = count;
        for (const batch of this.permitBatches) {
            const used = Math.min(batch.count, remaining);
            batch.count -= used;
            remaining -= used;
        }
        this.permitBatches = this.permitBatches.filter(batch => batch.count > 0);
    }

    private recentArrivals(nowMs: number): number {
        return this.decayedArrivals * Math.exp((this.lastArrivalAtMs - nowMs) / arrivalTimeConstantMs);
    }
}

function sumPermits(permitBatches: readonly PermitBatch[]): number {
    return permitBatches.reduce((sum, batch) => sum + batch.count, 0);
}
