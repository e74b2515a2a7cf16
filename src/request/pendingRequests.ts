/** Statements that the route filter has taken and not answered yet. */
import type { Position } from "../model/position.ts";
import type { AdmittedRequest } from "./requestMessages.ts";

/** Why a statement is with the route filter. */
export const PendingStage = {
    /** A read waits for its floor. */
    AwaitingFloor: "floor",
    /** Waits for a usable primary, or for the end of a backoff. */
    Waiting: "waiting",
    /** Sent to a holder; may have run. */
    Sent: "sent",
} as const;
export type PendingStage = typeof PendingStage[keyof typeof PendingStage];

/** One statement on its way; changes only through `PendingRequests`. */
export interface PendingRequest {
    readonly request: AdmittedRequest;
    readonly groupId: string;
    stage: PendingStage;
    /** Id of the current attempt. */
    requestId: string;
    /** Position that a replica must have reached; undefined sends the statement to the primary. */
    floor: Position | undefined;
    databaseId: string | undefined;
    /** Instance and lease epoch that the current attempt was sent to. */
    holder: { readonly instanceId: string; readonly address: string; readonly epoch: number; } | undefined;
    startedAtMs: number | undefined;
    attempts: number;
}

/** Finds pending statements by attempt and by connection. */
export class PendingRequests {
    private readonly byRequestId = new Map<string, PendingRequest>();
    private readonly byConnection = new Map<number, PendingRequest>();
    private readonly idPrefix: string;
    private nextRequestNumber = 0;

    /** @param idPrefix makes request ids unique over all instances and their restarts */
    constructor(idPrefix: string) {
        this.idPrefix = idPrefix;
    }

    add(request: AdmittedRequest, groupId: string): PendingRequest {
        const pending: PendingRequest = {
            request,
            groupId,
            stage: PendingStage.Waiting,
            requestId: this.createRequestId(),
            floor: undefined,
            databaseId: undefined,
            holder: undefined,
            startedAtMs: undefined,
            attempts: 0,
        };
        this.byRequestId.set(pending.requestId, pending);
        this.byConnection.set(request.connectionId, pending);
        return pending;
    }

    /** Gives a statement a new id, so that a late answer to an earlier attempt is not taken for this one's. */
    assignNewRequestId(pending: PendingRequest): void {
        this.byRequestId.delete(pending.requestId);
        pending.requestId = this.createRequestId();
        this.byRequestId.set(pending.requestId, pending);
    }

    get(requestId: string): PendingRequest | undefined {
        return this.byRequestId.get(requestId);
    }

    getByConnection(connectionId: number): PendingRequest | undefined {
        return this.byConnection.get(connectionId);
    }

    getByStage(stage: PendingStage): readonly PendingRequest[] {
        return [...this.byRequestId.values()].filter(each => each.stage === stage);
    }

    remove(pending: PendingRequest): void {
        this.byRequestId.delete(pending.requestId);
        if (this.byConnection.get(pending.request.connectionId) === pending) {
            this.byConnection.delete(pending.request.connectionId);
        }
    }

    private createRequestId(): string {
        return `${this.idPrefix}/${this.nextRequestNumber++}`;
    }
}
