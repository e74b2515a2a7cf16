/** Messages between the admit filter of an entry instance and the permit home of a workspace. */
import type { Message } from "../pipeline/message.ts";

export const PermitKind = {
    /** For the permit home in this process. */
    Request: "permit.request",
    /** For the permit home at `homeAddress`; sent by the gRPC sink. */
    Forward: "permit.forward",
    /** Permits that arrive at the entry instance. */
    Granted: "permit.granted",
    /** Answer of the permit home to another instance; sent by the gRPC sink. */
    Reply: "permit.reply",
    /** Requests the former permit home at `homeAddress` to retire; sent by the gRPC sink. */
    Retire: "permit.retire",
    /** Outcome of that request, at the instance that sent it. */
    Retired: "permit.retired",
    /** The request to retire, at the former home. */
    RetireRequested: "permit.retire_asked",
    /** Answer of the former home; sent by the gRPC sink. */
    RetireReply: "permit.retire_reply",
} as const;

/** Outcome of the request to a former permit home to retire. */
export const RetireOutcome = {
    /** The home has ended and reported for how long homes before it may still grant permits. */
    Ended: "ended",
    /** The process of the home is gone, or a new process without a record of the resource has its address. */
    Gone: "gone",
    /** The home did not answer and may still grant permits. */
    Unresponsive: "silent",
} as const;
export type RetireOutcome = typeof RetireOutcome[keyof typeof RetireOutcome];

/** Validity of a permit, counted from the sending of the request that it answers. */
export const permitValidityMs = 200;

export interface PermitRequest extends Message {
    readonly kind: typeof PermitKind.Request;
    /** Empty for a request of this process, otherwise the id of the gRPC call. */
    readonly origin: string;
    readonly requestId: string;
    readonly instanceId: string;
    readonly workspace: string;
    /** Permits requested: for statements that wait now and for those expected until the next request. */
    readonly wanted: number;
    /** Permits of earlier grants that expired unused since the last request. */
    readonly returned: number;
    /** Request id of the last grant that reached this instance; empty before the first. */
    readonly settledRequestId: string;
    /** Permits of all earlier grants that are still unused and valid. */
    readonly held: number;
    /** Monotonic time at which the requesting instance sent this; other instances may only use differences of it. */
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
    /** Time from now before which another request can bring no more permits; 0 when all wanted ones were granted. */
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
    /** Epoch of the lease that replaces the lease of the former home. */
    readonly epoch: number;
}

export interface PermitRetire extends RetireBody {
    readonly kind: typeof PermitKind.Retire;
    readonly homeAddress: string;
}

export interface PermitRetired extends RetireBody {
    readonly kind: typeof PermitKind.Retired;
    readonly outcome: RetireOutcome;
    /** Time from now for which homes before the former one may still grant permits; meaningful with `Ended` only. */
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
    /** False when this process has no record of the resource's former home. */
    readonly known: boolean;
    readonly waitMs: number;
}
