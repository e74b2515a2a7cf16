/** Messages between the admit filter of an entry instance and the permit home of a workspace. */
import type { Message } from "../pipeline/message.ts";

export const PermitKind = {
    /** For the permit home in this process. */
    Request: "permit.request",
    /** For the permit home at `homeAddress`; taken by the gRPC sink. */
    Forward: "permit.forward",
    /** Permits that arrive at the entry instance. */
    Granted: "permit.granted",
    /** Answer of the permit home to another instance; taken by the gRPC sink. */
    Reply: "permit.reply",
    /** Asks the former home at `homeAddress` to end; taken by the gRPC sink. */
    Retire: "permit.retire",
    /** What became of that question, at the instance that asked. */
    Retired: "permit.retired",
    /** The question at the former home. */
    RetireRequested: "permit.retire_asked",
    /** Answer of the former home; taken by the gRPC sink. */
    RetireReply: "permit.retire_reply",
} as const;

/** What is known of a former permit home that was asked to end. */
export const RetireOutcome = {
    /** It has ended, and knows since when the homes before it have. */
    Ended: "ended",
    /** Its process is gone, or a new one that knows nothing of the resource has taken its address. */
    Gone: "gone",
    /** No answer: it may still grant permits. */
    Unresponsive: "silent",
} as const;
export type RetireOutcome = typeof RetireOutcome[keyof typeof RetireOutcome];

/** Time from the request's sending after which an unused permit must not be used. */
export const permitValidityMs = 200;

export interface PermitRequest extends Message {
    readonly kind: typeof PermitKind.Request;
    /** Empty for this process, otherwise the id of the gRPC call. */
    readonly origin: string;
    readonly requestId: string;
    readonly instanceId: string;
    readonly workspace: string;
    /** Permits asked for: statements that wait now, and those expected until the next question. */
    readonly wanted: number;
    /** Permits of earlier grants that expired unused since the last request. */
    readonly returned: number;
    /** Request id of the last grant that reached this instance; empty before the first. */
    readonly settledRequestId: string;
    /** Permits of all earlier grants that are still unused and valid. */
    readonly held: number;
    /** Monotonic time of the asking instance at the sending; only differences mean anything to another instance. */
    readonly sentMs: number;
}

export interface PermitForward extends Omit<PermitRequest, "kind" | "origin"> {
    readonly kind: typeof PermitKind.Forward;
    readonly homeAddress: string;
}

interface GrantBody extends Message {
    readonly requestId: string;
    readonly workspace: string;
    readonly granted: number;
    /** Earliest time, from now, at which asking again can bring more; 0 when all that was wanted was granted. */
    readonly retryAfterMs: number;
    /** False when the home could not be reached or does not hold its lease. */
    readonly answered: boolean;
}

export interface PermitGranted extends GrantBody {
    readonly kind: typeof PermitKind.Granted;
}

export interface PermitReply extends GrantBody {
    readonly kind: typeof PermitKind.Reply;
    readonly origin: string;
}

interface RetireBody extends Message {
    readonly resourceId: string;
    /** Epoch of the lease that replaces the one of the former home. */
    readonly epoch: number;
}

export interface PermitRetire extends RetireBody {
    readonly kind: typeof PermitKind.Retire;
    readonly homeAddress: string;
}

export interface PermitRetired extends RetireBody {
    readonly kind: typeof PermitKind.Retired;
    readonly outcome: RetireOutcome;
    /** Time from now for which homes before the former one may still grant; meaningful with `Ended` only. */
    readonly waitMs: number;
}

export interface PermitRetireRequested extends RetireBody {
    readonly kind: typeof PermitKind.RetireRequested;
    /** Id of the gRPC call. */
    readonly origin: string;
}

export interface PermitRetireReply extends Message {
    readonly kind: typeof PermitKind.RetireReply;
    readonly origin: string;
    /** False when this process knows nothing of the resource's former home. */
    readonly known: boolean;
    readonly waitMs: number;
}
