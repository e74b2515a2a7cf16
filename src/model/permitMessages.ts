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
    /** Statements that wait now. */
    readonly wanted: number;
    /** Permits of earlier grants that expired unused since the last request. */
    readonly returned: number;
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
}

export interface PermitGranted extends GrantBody {
    readonly kind: typeof PermitKind.Granted;
    /** False when the home could not be reached or does not hold its lease. */
    readonly answered: boolean;
}

export interface PermitReply extends GrantBody {
    readonly kind: typeof PermitKind.Reply;
    readonly origin: string;
}
