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
} as const;

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
