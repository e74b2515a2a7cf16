/** Refuses reads at the holder of a database that has not reached the log position which they need. */
import type { LinkReply } from "../model/linkMessages.ts";
import type { Position } from "../model/position.ts";
import { StatementFault, TransactionState } from "../model/sessionStatement.ts";
import { ReplicaLag } from "../scheduling/replicaLag.ts";
import type { TaskPlaced } from "./taskMessages.ts";

/** Pauses between two reads that find out whether the database still lags. */
const minimumPauseMs = 30;
const maximumPauseMs = 500;

/** Nothing is known of the primary here: only what the database itself has refused counts. */
const unknownPassing = () => undefined;

/**
 * What the links of one pool tell about the lag of their database. All reads of a database pass its holder, so that one
 * of them finds out for all that the lag has ended.
 */
export class PoolLag {
    private readonly databaseId: string;
    private readonly lag = new ReplicaLag({ minimumPauseMs, maximumPauseMs });

    constructor(databaseId: string) {
        this.databaseId = databaseId;
    }

    /** Forgets the position of the database after a change that may take its log back. */
    forget(): void {
        this.lag.remove(this.databaseId);
    }

    /**
     * Returns the refusal of a read whose floor the database has not reached, as the database itself has told before;
     * undefined if it may have reached it. The read then counts as sent.
     */
    refuse({ floor }: TaskPlaced, nowMs: number): LinkReply | undefined {
        if (floor === undefined) {
            return undefined;
        }
        if (this.mayHaveReached(floor, nowMs)) {
            this.lag.recordPlaced(this.databaseId, floor, nowMs);
            return undefined;
        }
        return {
            rows: [],
            signature: undefined,
            fault: StatementFault.Lagging,
            detail: "the database has not reached the required position; not run",
            transaction: TransactionState.None,
            position: this.lag.observed(this.databaseId)?.position,
            status: undefined,
        };
    }

    mayHaveReached(floor: Position, nowMs: number): boolean {
        return this.lag.avoidedUntilMs(this.databaseId, floor, unknownPassing, nowMs) === undefined;
    }

    /** Records what the end of an attempt tells. */
    recordAttempt({ floor }: TaskPlaced, reply: LinkReply | undefined, nowMs: number): void {
        if (reply?.position !== undefined) {
            this.lag.recordPosition(this.databaseId, { position: reply.position, atMs: nowMs, lagMs: 0 });
        }
        if (floor !== undefined) {
            this.lag.recordTrialEnd(this.databaseId);
            if (reply?.fault === StatementFault.Lagging) {
                this.lag.recordRefusal(this.databaseId, floor, nowMs);
            }
        }
    }
}
