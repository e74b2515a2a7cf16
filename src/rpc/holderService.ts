/**
 * Server side of `Holder.Work`: receives statements from other instances and returns the answers of this instance,
 * which holds the lease of the database.
 */
import { Metadata, type Server, type ServerDuplexStream } from "@grpc/grpc-js";
import {
    type HolderFloorReply,
    type HolderFloorRequest,
    HolderKind,
    type HolderReply,
    type HolderRequest,
    type HolderSessionEnd,
    type HolderStreamLost,
} from "../model/holderMessages.ts";
import type { Message } from "../pipeline/message.ts";
import type { Sink } from "../pipeline/sink.ts";
import { HolderService as HolderDefinition, type WorkRequest, type WorkResponse } from "./generated/holder.ts";
import { decodeStatement, encodeOutcome } from "./holderCodec.ts";

export interface HolderServiceOptions {
    /** Adds a message to the queue of the event loop. */
    readonly post: (message: Message) => void;
    /** Clock of the event loop; used to compute deadlines, which requests contain as remaining time. */
    readonly nowMs: () => number;
}

type WorkCall = ServerDuplexStream<WorkRequest, WorkResponse>;

export class HolderService implements Sink<HolderReply | HolderFloorReply>, AsyncDisposable {
    readonly accepts = [HolderKind.Reply, HolderKind.FloorReply];
    private readonly options: HolderServiceOptions;
    private readonly streams = new Map<string, WorkCall>();
    private nextStreamNumber = 0;

    constructor(options: HolderServiceOptions) {
        this.options = options;
    }

    /** Adds the service to a server that was created by `createPeerServer`. */
    register(server: Server): void {
        server.addService(HolderDefinition, { work: (call: WorkCall) => this.acceptStream(call) });
    }

    deliver(message: HolderReply | HolderFloorReply): void {
        // If the stream is closed, the answer is discarded: the entry instance already handles the loss of the stream.
        this.streams.get(message.origin)?.write(encodeReply(message));
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.streams.forEach(call => call.end());
    }

    private acceptStream(call: WorkCall): void {
        const origin = `stream:${this.nextStreamNumber++}`;
        this.streams.set(origin, call);
        call.on("data", (request: WorkRequest) => this.receive(origin, request));
        call.on("end", () => {
            call.end();
            this.closeStream(origin);
        });
        call.on("cancelled", () => this.closeStream(origin));
        call.on("error", () => this.closeStream(origin));
        // Tells the client that the stream is accepted and that it can send requests.
        call.sendMetadata(new Metadata());
    }

    private receive(origin: string, request: WorkRequest): void {
        const message = this.decodeRequest(origin, request);
        if (message !== undefined && this.streams.has(origin)) {
            this.options.post(message);
        }
    }

    private decodeRequest(origin: string, request: WorkRequest): Message | undefined {
        const { requestId, statement, sessionEnd, floor } = request;
        if (statement !== undefined) {
            const fields = decodeStatement(requestId, statement, this.options.nowMs());
            return { ...fields, kind: HolderKind.Request, origin } satisfies HolderRequest as Message;
        }
        if (sessionEnd !== undefined) {
            return { ...sessionEnd, kind: HolderKind.SessionEnd, origin } satisfies HolderSessionEnd as Message;
        }
        return floor === undefined
            ? undefined
            : { ...floor, kind: HolderKind.FloorRequest, origin, requestId } satisfies HolderFloorRequest as Message;
    }

    private closeStream(origin: string): void {
        if (this.streams.delete(origin)) {
            const lost: HolderStreamLost = {
                kind: HolderKind.StreamLost,
                holderAddress: undefined,
                origin,
                requestIds: [],
            };
            this.options.post(lost);
        }
    }
}

function encodeReply(message: HolderReply | HolderFloorReply): WorkResponse {
    if (message.kind === HolderKind.FloorReply) {
        const { requestId, floors, current, currentAgeMs } = message;
        const body = floors === undefined
            ? { floors: [], current: undefined, currentAgeMs: 0 }
            : { floors: [...floors], current, currentAgeMs };
        return { requestId, floor: body, written: undefined, inTransaction: false, pinned: false };
    }
    const { requestId, outcome, written, inTransaction, pinned } = message;
    return { requestId, ...encodeOutcome(outcome), written, inTransaction, pinned };
}
