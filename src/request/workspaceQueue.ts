/** What the admit filter keeps for one workspace: waiting statements, permits and the question in flight. */

/** Permits are asked for the work of this time ahead, well within their validity. */
const prefetchIntervalMs = 60;

/** Time constant of the measured rate of arrivals. */
const arrivalTimeConstantMs = 500;

/** What the queue reads of a statement. */
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

/** State of one workspace. It exists while statements wait, permits are held or arrivals were recent. */
export class WorkspaceQueue<Statement extends QueuedStatement> {
    /** Statements of open transactions go first: they hold a slot and locks. */
    readonly transactionStatements = new Map<number, Statement>();
    readonly otherStatements = new Map<number, Statement>();
    permitBatches: PermitBatch[] = [];
    inFlightRequest: InFlightRequest | undefined;
    nextRequestAtMs = 0;
    /** Time of the timer that asks again. */
    requestTimerAtMs = 0;
    settledRequestId = "";
    expiredPermits = 0;
    /** The home's advice while it grants less than is asked; 0 while the workspace is not known to be short. */
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

    /** Statements expected within `aheadMs`. */
    expectedArrivals(nowMs: number): number {
        return Math.floor(this.recentArrivals(nowMs) * prefetchIntervalMs / arrivalTimeConstantMs);
    }

    countValidPermits(nowMs: number): number {
        const valid = this.permitBatches.filter(batch => batch.validUntilMs > nowMs);
        this.expiredPermits += sumPermits(this.permitBatches) - sumPermits(valid);
        this.permitBatches = valid;
        return sumPermits(valid);
    }

    /** Takes the statements that can be admitted now. */
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
