/** Server side of `Holder.Work`: takes statements of other instances and sends them the holder's answers. */
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
    /** Gives a message to the event loop. */
    readonly post: (message: Message) => void;
    /** The clock of the event loop; deadlines arrive as time left. */
    readonly nowMs: () => number;
}

type WorkCall = ServerDuplexStream<WorkRequest, WorkResponse>;

export class HolderService implements Sink<HolderReply | HolderFloorReply>, AsyncDisposable {
    readonly accepts = [HolderKind.Reply, HolderKind.FloorReply];
    private readonly options: HolderServiceOptions;
    private readonly calls = new Map<string, WorkCall>();
    private nextNumber = 0;

    constructor(options: HolderServiceOptions) {
        this.options = options;
    }

    /** Adds the service to a server that was created by `createPeerServer`. */
    register(server: Server): void {
        server.addService(HolderDefinition, { work: (call: WorkCall) => this.accept(call) });
    }

    deliver(message: HolderReply | HolderFloorReply): void {
        // Without its stream the answer has no addressee: the entry instance already knows that the stream was lost.
        this.calls.get(message.origin)?.write(encodeReply(message));
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.calls.forEach(call => call.end());
    }

    private accept(call: WorkCall): void {
        const origin = `stream:${this.nextNumber++}`;
        this.calls.set(origin, call);
        call.on("data", (request: WorkRequest) => this.receive(origin, request));
        call.on("end", () => {
            call.end();
            this.lose(origin);
        });
        call.on("cancelled", () => this.lose(origin));
        call.on("error", () => this.lose(origin));
        // Tells the client that its requests are taken from now on.
        call.sendMetadata(new Metadata());
    }

    private receive(origin: string, request: WorkRequest): void {
        const message = this.readRequest(origin, request);
        if (message !== undefined && this.calls.has(origin)) {
            this.options.post(message);
        }
    }

    private readRequest(origin: string, request: WorkRequest): Message | undefined {
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

    private lose(origin: string): void {
        if (this.calls.delete(origin)) {
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
