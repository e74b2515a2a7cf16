/** Evacuations: an operator's order that the databases of a data centre get no more work, until it is withdrawn. */
import type { Message } from "../pipeline/message.ts";

/** An evacuation in force, as the control members store it. */
export interface Evacuation {
    readonly dataCentre: string;
    /** The operator, as far as the channel of the order tells: an instance, a user or an address. */
    readonly orderedBy: string;
    readonly orderedAtUnixMs: number;
    /** Rises with each evacuation of the data centre, also after one that was withdrawn. */
    readonly version: number;
}

export const EvacuationAction = {
    Begin: "begin",
    End: "end",
} as const;
export type EvacuationAction = typeof EvacuationAction[keyof typeof EvacuationAction];

export const EvacuationKind = {
    /** An operator orders or withdraws an evacuation. */
    Ordered: "evacuation.ordered",
    /** An order timed out. */
    LimitDue: "evacuation.limit_due",
    /** Answer to an order. */
    Answered: "evacuation.answered",
} as const;

export interface EvacuationOrdered extends Message {
    readonly kind: typeof EvacuationKind.Ordered;
    /** Unique in this process. */
    readonly requestId: string;
    readonly action: EvacuationAction;
    readonly dataCentre: string;
    readonly orderedBy: string;
    readonly orderedAtUnixMs: number;
}

export interface EvacuationLimitDue extends Message {
    readonly kind: typeof EvacuationKind.LimitDue;
    readonly requestId: string;
}

export const EvacuationResult = {
    /** Stored as durably as a configuration, or in force (withdrawn) already. */
    Accepted: "accepted",
    /** Malformed, or for a data centre that the deployment does not have. Nothing changed. */
    Refused: "refused",
    /** Another member is the leader. */
    Redirect: "redirect",
    /** No leader is known, or no majority answered in time; the order may take effect. */
    Unavailable: "unavailable",
} as const;
export type EvacuationResult = typeof EvacuationResult[keyof typeof EvacuationResult];

export interface EvacuationAnswered extends Message {
    readonly kind: typeof EvacuationKind.Answered;
    readonly requestId: string;
    readonly action: EvacuationAction;
    readonly dataCentre: string;
    readonly orderedBy: string;
    readonly result: EvacuationResult;
    /** Why the order was refused, or that it changed nothing; otherwise empty. */
    readonly detail: string;
    /** `host:port` of the leader's gRPC listener; set if `result` is `Redirect`. */
    readonly leaderAddress: string | undefined;
}
