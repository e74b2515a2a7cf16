/** Client side of `Holder.Work`: carries statements to the holders of databases and brings their answers back. */
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
    /** Gives a message to the event loop. */
    readonly post: (message: Message) => void;
    /** Longest time until a holder accepts a stream; 1 s by default. */
    readonly openTimeoutMs?: number;
}

type HolderEffect = HolderForward | HolderForwardSessionEnd | HolderForwardFloorRequest;

const defaultOpenTimeoutMs = 1_000;

export class HolderStreams implements Sink<HolderEffect>, AsyncDisposable {
    readonly accepts = [HolderKind.Forward, HolderKind.ForwardSessionEnd, HolderKind.ForwardFloorRequest];
    private readonly options: HolderStreamsOptions;
    private readonly peers = new Map<string, HolderConnection>();

    constructor(options: HolderStreamsOptions) {
        this.options = options;
    }

    deliver(message: HolderEffect, nowMs: number): void {
        const request = match(message)
            .with({ kind: HolderKind.Forward }, statement => encodeStatement(statement, nowMs))
            .with({ kind: HolderKind.ForwardFloorRequest }, floor => encodeFloorRequest(floor))
            .with({ kind: HolderKind.ForwardSessionEnd }, ({ sessionId, databaseId }) => ({
                requestId: "",
                sessionEnd: { sessionId, databaseId },
            }))
            .exhaustive();
        // A session that the holder never saw has nothing to end.
        if (request.requestId !== "" || this.peers.has(message.holderAddress)) {
            this.peerAt(message.holderAddress).send(request);
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        [...this.peers.values()].forEach(peer => peer.end("the instance stops"));
    }

    private peerAt(address: string): HolderConnection {
        const existing = this.peers.get(address);
        if (existing !== undefined) {
            return existing;
        }
        const peer = new HolderConnection({
            address,
            clientFactory: this.options.clientFactory,
            openTimeoutMs: this.options.openTimeoutMs ?? defaultOpenTimeoutMs,
            onResponse: (request, response) => this.options.post(readResponse(request, response)),
            onLost: lost => this.streamLost(address, lost),
        });
        this.peers.set(address, peer);
        return peer;
    }

    private streamLost(address: string, { unsent: notSent, inFlight: unanswered, reason }: LostRequests): void {
        this.peers.delete(address);
        notSent.forEach(request => this.answerNotSent(request, address, reason));
        const requestIds = unanswered.map(request => request.requestId);
        const lost: HolderStreamLost = {
            kind: HolderKind.StreamLost,
            holderAddress: address,
            origin: undefined,
            requestIds,
        };
        this.options.post(lost);
    }

    private answerNotSent(request: WorkRequest, address: string, reason: string): void {
        if (request.floor !== undefined) {
            this.options.post(noFloors(request.requestId));
        }
        else if (request.statement !== undefined) {
            const refusal = refuse(RefusalCode.HolderUnavailable, "rpc", { peer: address, detail: reason });
            this.options.post(plainAnswer(request.requestId, { kind: OutcomeKind.Refused, refusal }));
        }
    }
}

function readResponse(request: WorkRequest, response: WorkResponse): HolderAnswer | HolderFloorAnswer {
    const { requestId, written, inTransaction, pinned } = response;
    if (request.floor !== undefined) {
        return readFloors(response);
    }
    const outcome = decodeOutcome(response);
    if (outcome === undefined) {
        const refusal = refuse(RefusalCode.ConnectionLost, "rpc", { detail: "the answer holds no outcome" });
        return plainAnswer(requestId, { kind: OutcomeKind.Refused, refusal });
    }
    return { kind: HolderKind.Answer, requestId, outcome, written, inTransaction, pinned };
}

function readFloors({ requestId, floor }: WorkResponse): HolderFloorAnswer {
    // Without a current position the holder could not prove its lease.
    if (floor?.current === undefined) {
        return noFloors(requestId);
    }
    const { floors, current, currentAgeMs } = floor;
    return { kind: HolderKind.FloorAnswer, requestId, floors, current, currentAgeMs };
}

function noFloors(requestId: string): HolderFloorAnswer {
    return { kind: HolderKind.FloorAnswer, requestId, floors: undefined, current: originPosition, currentAgeMs: 0 };
}

function plainAnswer(requestId: string, outcome: Outcome): HolderAnswer {
    return { kind: HolderKind.Answer, requestId, outcome, written: undefined, inTransaction: false, pinned: false };
}
