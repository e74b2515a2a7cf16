/** Server side of attachments: a control member accepts the streams that instances open. */
import type { Server, ServerDuplexStream } from "@grpc/grpc-js";
import { type Attached, type Detached, type FleetFrame, FleetKind, type SendFrame } from "../model/fleetMessages.ts";
import type { Sink } from "../pipeline/sink.ts";
import { encodeFrame, frameBytes } from "./fleetCodec.ts";
import { type FrameReceiverOptions, receiveFrame } from "./frameReceiver.ts";
import { type FleetFrameMessage, type FleetServer, FleetService } from "./generated/fleet.ts";
import { memoizeEncoder } from "./memoizeEncoder.ts";

/** Frames queued for a slow peer; at this number its attachment is closed, and the peer attaches again. */
export const maximumQueuedFrames = 512;

type Stream = ServerDuplexStream<FleetFrameMessage, FleetFrameMessage>;

export class FleetAcceptor implements Sink<SendFrame>, AsyncDisposable {
    readonly accepts = [FleetKind.SendFrame];
    private readonly options: FrameReceiverOptions;
    /** Encodes each frame once for all peers. */
    private readonly encode = memoizeEncoder((frame: FleetFrame) => encodeFrame(frame));
    /** Attachments whose peers read permit messages. */
    private readonly permitMessageReaders = new Set<string>();
    private readonly streams = new Map<string, Stream>();
    private nextStreamNumber = 0;

    constructor(options: FrameReceiverOptions) {
        this.options = options;
    }

    /** Adds the Fleet service to a server that was created by `createPeerServer`. */
    register(server: Server): void {
        const service: FleetServer = { attach: stream => this.acceptStream(stream) };
        server.addService(FleetService, service);
    }

    deliver({ attachmentId, frame }: SendFrame): void {
        const stream = this.streams.get(attachmentId);
        if (stream === undefined) {
            return;
        }
        if (stream.writableLength >= maximumQueuedFrames) {
            this.closeStream(attachmentId, stream);
            return;
        }
        const encoded = frame.kind === "permits"
            ? encodeFrame(frame, this.permitMessageReaders.has(attachmentId))
            : this.encode(frame);
        this.options.traffic.recordSent(frame.kind, frameBytes(encoded), attachmentId);
        stream.write(encoded);
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.streams.forEach(stream => stream.end());
        this.streams.clear();
    }

    private acceptStream(stream: Stream): void {
        const attachmentId = `in${this.nextStreamNumber++}`;
        this.streams.set(attachmentId, stream);
        this.options.post({ kind: FleetKind.Attached, attachmentId, address: undefined } as Attached);
        stream.on("data", (message: FleetFrameMessage) => this.receive(attachmentId, stream, message));
        stream.on("error", () => this.closeStream(attachmentId, stream));
        stream.on("cancelled", () => this.closeStream(attachmentId, stream));
        stream.on("end", () => this.closeStream(attachmentId, stream));
    }

    private receive(attachmentId: string, stream: Stream, message: FleetFrameMessage): void {
        if (message.readsPermitMessages === true) {
            this.permitMessageReaders.add(attachmentId);
        }
        if (!receiveFrame(message, attachmentId, attachmentId, this.options)) {
            this.closeStream(attachmentId, stream);
        }
    }

    private closeStream(attachmentId: string, stream: Stream): void {
        if (this.streams.get(attachmentId) === stream) {
            this.streams.delete(attachmentId);
            this.permitMessageReaders.delete(attachmentId);
            stream.end();
            this.options.post({ kind: FleetKind.Detached, attachmentId } as Detached);
        }
    }
}
