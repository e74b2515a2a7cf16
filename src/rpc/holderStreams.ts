/** Client side of `Holder.Work`: sends statements to the holders of databases and receives their answers. */
import { match } from "ts-pattern";
import {
    type HolderAnswer,
    type HolderFloorAnswer,
    type HolderForward,
    type HolderForwardFloorRequest,
    type HolderForwardSessionEnd,
    HolderKind,
    type HolderStreamLost,
} from "../model/holderMessages.ts";
import { type Outcome, OutcomeKind } from "../model/outcome.ts";
import { originPosition } from "../model/position.ts";
import { RefusalCode, refuse } from "../model/refusal.ts";
import type { Message } from "../pipeline/message.ts";
import type { Sink } from "../pipeline/sink.ts";
import type { WorkRequest, WorkResponse } from "./generated/holder.ts";
import { decodeOutcome, encodeFloorRequest, encodeStatement } from "./holderCodec.ts";
import { HolderConnection, type LostRequests } from "./holderConnection.ts";
import type { PeerClientFactory } from "./peerClientFactory.ts";

export interface HolderStreamsOptions {
    readonly clientFactory: PeerClientFactory;
    /** Adds a message to the queue of the event loop. */
    readonly post: (message: Message) => void;
    /** Timeout for a holder to accept a stream; 1 s by default. */
    readonly openTimeoutMs?: number;
}

type HolderOutput = HolderForward | HolderForwardSessionEnd | HolderForwardFloorRequest;

const defaultOpenTimeoutMs = 1_000;

export class HolderStreams implements Sink<HolderOutput>, AsyncDisposable {
    readonly accepts = [HolderKind.Forward, HolderKind.ForwardSessionEnd, HolderKind.ForwardFloorRequest];
    private readonly options: HolderStreamsOptions;
    private readonly connections = new Map<string, HolderConnection>();

    constructor(options: HolderStreamsOptions) {
        this.options = options;
    }

    deliver(message: HolderOutput, nowMs: number): void {
        const request = match(message)
            .with({ kind: HolderKind.Forward }, statement => encodeStatement(statement, nowMs))
            .with({ kind: HolderKind.ForwardFloorRequest }, floor => encodeFloorRequest(floor))
            .with({ kind: HolderKind.ForwardSessionEnd }, ({ sessionId, databaseId }) => ({
                requestId: "",
                sessionEnd: { sessionId, databaseId },
            }))
            .exhaustive();
        // If no stream to the holder exists, the holder has no state of this session, so its end need not be sent.
        if (request.requestId !== "" || this.connections.has(message.holderAddress)) {
            this.connectionTo(message.holderAddress).send(request);
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        [...this.connections.values()].forEach(peer => peer.close("the instance stops"));
    }

    private connectionTo(address: string): HolderConnection {
        const existing = this.connections.get(address);
        if (existing !== undefined) {
            return existing;
        }
        const connection = new HolderConnection({
            address,
            clientFactory: this.options.clientFactory,
            openTimeoutMs: this.options.openTimeoutMs ?? defaultOpenTimeoutMs,
            onResponse: (request, response) => this.options.post(decodeResponse(request, response)),
            onLost: lostRequests => this.handleLostStream(address, lostRequests),
        });
        this.connections.set(address, connection);
        return connection;
    }

    private handleLostStream(address: string, { unsent, inFlight, reason }: LostRequests): void {
        this.connections.delete(address);
        unsent.forEach(request => this.answerUnsent(request, address, reason));
        const requestIds = inFlight.map(request => request.requestId);
        const streamLost: HolderStreamLost = {
            kind: HolderKind.StreamLost,
            holderAddress: address,
            origin: undefined,
            requestIds,
        };
        this.options.post(streamLost);
    }

    private answerUnsent(request: WorkRequest, address: string, reason: string): void {
        if (request.floor !== undefined) {
            this.options.post(unavailableFloors(request.requestId));
        }
        else if (request.statement !== undefined) {
            const refusal = refuse(RefusalCode.HolderUnavailable, "rpc", { peer: address, detail: reason });
            this.options.post(answerWithOutcome(request.requestId, { kind: OutcomeKind.Refused, refusal }));
        }
    }
}

function decodeResponse(request: WorkRequest, response: WorkResponse): HolderAnswer | HolderFloorAnswer {
    const { requestId, written, inTransaction, pinned } = response;
    if (request.floor !== undefined) {
        return decodeFloors(response);
    }
    const outcome = decodeOutcome(response);
    if (outcome === undefined) {
        const refusal = refuse(RefusalCode.ConnectionLost, "rpc", { detail: "the answer holds no outcome" });
        return answerWithOutcome(requestId, { kind: OutcomeKind.Refused, refusal });
    }
    return { kind: HolderKind.Answer, requestId, outcome, written, inTransaction, pinned };
}

function decodeFloors({ requestId, floor }: WorkResponse): HolderFloorAnswer {
    // A holder that cannot prove its lease omits its current position.
    if (floor?.current === undefined) {
        return unavailableFloors(requestId);
    }
    const { floors, current, currentAgeMs } = floor;
    return { kind: HolderKind.FloorAnswer, requestId, floors, current, currentAgeMs };
}

function unavailableFloors(requestId: string): HolderFloorAnswer {
    return { kind: HolderKind.FloorAnswer, requestId, floors: undefined, current: originPosition, currentAgeMs: 0 };
}

function answerWithOutcome(requestId: string, outcome: Outcome): HolderAnswer {
    return { kind: HolderKind.Answer, requestId, outcome, written: undefined, inTransaction: false, pinned: false };
}
