/** What the admit filter keeps for one workspace: waiting statements, permits and the question in flight. */

/** Permits are asked for the work of this time ahead, well within their validity. */
const aheadMs = 60;

/** Time constant of the measured rate of arrivals. */
const rateMemoryMs = 500;

/** What the queue reads of a statement. */
export interface WaitingStatement {
    readonly connectionId: number;
    readonly inTransaction: boolean;
}

interface PermitBatch {
    count: number;
    readonly validUntilMs: number;
}

interface Question {
    readonly requestId: string;
    readonly sentMs: number;
}

/** State of one workspace. It exists while statements wait, permits are held or arrivals were recent. */
export class WorkspaceQueue<Statement extends WaitingStatement> {
    /** Statements of open transactions go first: they hold a slot and locks. */
    readonly inTransaction = new Map<number, Statement>();
    readonly others = new Map<number, Statement>();
    batches: PermitBatch[] = [];
    question: Question | undefined;
    nextAskMs = 0;
    /** Time of the timer that asks again. */
    askDueMs = 0;
    settledRequestId = "";
    expired = 0;
    /** The home's advice while it grants less than is asked; 0 while the workspace is not known to be short. */
    shortRetryMs = 0;
    private arrivals = 0;
    private arrivalsMs = 0;

    get waiting(): number {
        return this.inTransaction.size + this.others.size;
    }

    add(statement: Statement): void {
        (statement.inTransaction ? this.inTransaction : this.others).set(statement.connectionId, statement);
    }

    get(connectionId: number): Statement | undefined {
        return this.inTransaction.get(connectionId) ?? this.others.get(connectionId);
    }

    remove(connectionId: number): void {
        this.inTransaction.delete(connectionId);
        this.others.delete(connectionId);
    }

    countArrival(nowMs: number): void {
        this.arrivals = this.recentArrivals(nowMs) + 1;
        this.arrivalsMs = nowMs;
    }

    /** Statements expected within `aheadMs`. */
    expected(nowMs: number): number {
        return Math.floor(this.recentArrivals(nowMs) * aheadMs / rateMemoryMs);
    }

    held(nowMs: number): number {
        const valid = this.batches.filter(batch => batch.validUntilMs > nowMs);
        this.expired += sumCounts(this.batches) - sumCounts(valid);
        this.batches = valid;
        return sumCounts(valid);
    }

    /** Takes the statements that can be admitted now. */
    takeReady(nowMs: number): readonly Statement[] {
        const count = Math.min(this.held(nowMs), this.waiting);
        const ready: Statement[] = [];
        for (const queue of [this.inTransaction, this.others]) {
            for (const [connectionId, statement] of queue) {
                if (ready.length === count) {
                    break;
                }
                queue.delete(connectionId);
                ready.push(statement);
            }
        }
        this.use(count);
        return ready;
    }

    private use(count: number): void {
        let left = count;
        for (const batch of this.batches) {
            const used = Math.min(batch.count, left);
            batch.count -= used;
            left -= used;
        }
        this.batches = this.batches.filter(batch => batch.count > 0);
    }

    private recentArrivals(nowMs: number): number {
        return this.arrivals * Math.exp((this.arrivalsMs - nowMs) / rateMemoryMs);
    }
}

function sumCounts(batches: readonly PermitBatch[]): number {
    return batches.reduce((sum, batch) => sum + batch.count, 0);
}
