/** The statements that the route filter has received and not answered yet. */
import type { Position } from "../model/position.ts";
import type { AdmittedRequest } from "./requestMessages.ts";

/** What a pending statement waits for. */
export const PendingStage = {
    /** A read that waits for the floor of its caller. */
    AwaitingFloor: "floor",
    /** Waits for a usable primary or for the end of its retry backoff. */
    Waiting: "waiting",
    /** Waits for the answer of a holder; the statement may have run. */
    Sent: "sent",
} as const;
export type PendingStage = typeof PendingStage[keyof typeof PendingStage];

/** A statement with the state of its current attempt. */
export interface PendingRequest {
    readonly request: AdmittedRequest;
    readonly groupId: string;
    stage: PendingStage;
    /** Id of the current attempt; changes with each retry. */
    requestId: string;
    /** Log position that a replica must have reached; undefined when the statement goes to the primary. */
    floor: Position | undefined;
    databaseId: string | undefined;
    /** The instance to which the current attempt was sent, with the epoch of its lease. */
    holder: { readonly instanceId: string; readonly address: string; readonly epoch: number; } | undefined;
    startedAtMs: number | undefined;
    attempts: number;
}

/** Indexes pending statements by the id of their attempt and by connection. */
export class PendingRequests {
    private readonly byRequestId = new Map<string, PendingRequest>();
    private readonly byConnection = new Map<number, PendingRequest>();
    private readonly idPrefix: string;
    private nextRequestNumber = 0;

    /** @param idPrefix makes request ids unique across instances and restarts */
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

    /** Assigns a new id for the next attempt, so that a late answer to the previous attempt is not applied to it. */
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
