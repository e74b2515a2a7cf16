/** One process of an instance that commits, and what it knows of promotions. */
import type { Position } from "../../model/position.ts";
import type { CommitGate } from "../../session/commitGate.ts";
import type { CommitTracker } from "../../session/commitTracker.ts";
import type { LeaseRequester } from "../leaseRequester.ts";

export interface SimulatedInstance {
    readonly instanceId: string;
    commits: CommitTracker;
    /** Position of the last answer of a primary. */
    knownPosition: Position | undefined;
    running: boolean;
    /** Callers commit by way of this instance. */
    writes: boolean;
    /** Nothing passes between the instance and the control members. */
    cutFromControl: boolean;
    /** Added to the time after which the instance applies a record, while it goes on to get leases. */
    feedDelayMs: number;
    /** The instance gets no further configuration; nothing else is cut. */
    feedLost: boolean;
    /** Index of the newest command whose effect it has applied. */
    appliedIndex: number;
    /** Database of the order that is under way, as the instance knows it; it commits nowhere else. */
    orderedDatabaseId: string;
    gate: CommitGate;
    leases: LeaseRequester;
    /** Number of the timer that counts; a timer that is set again takes the place of the earlier one. */
    leaseTimer: number;
}
