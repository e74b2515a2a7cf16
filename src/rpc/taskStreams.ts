/**
 * Bidirectional streams on which instances send each other questions (see `PeerQuestion`). The instance that opened a
 * stream sends questions on it, and the other instance sends the results back.
 */
import {
    type ClientDuplexStream,
    Metadata,
    type Server,
    type ServerDuplexStream,
    type StatusObject,
} from "@grpc/grpc-js";
import { type FleetDrained, FleetKind } from "../model/fleetMessages.ts";
import {
    type PeerAnswer,
    type PeerAnswered,
    type PeerAsked,
    type PeerFrameRefused,
    type PeerGone,
    PeerKind,
    type PeerLoadIgnored,
    type PeerLost,
    type PeerQuestion,
    type PeerResult,
    type PeerSend,
} from "../model/peerMessages.ts";
import type { Message } from "../pipeline/message.ts";
import type { Sink } from "../pipeline/sink.ts";
import type { PeerTrafficObserver } from "../telemetry/loadLog.ts";
import { type TaskFrameMessage, TasksClient, type TasksServer, TasksService } from "./generated/tasks.ts";
import { ConnectionMode, type PeerClientFactory } from "./peerClientFactory.ts";
import { decodeQuestion, decodeResult, encodeQuestion, encodeResult, isLoadIgnored } from "./taskCodec.ts";

type IncomingStream = ServerDuplexStream<TaskFrameMessage, TaskFrameMessage>;
type OutgoingStream = ClientDuplexStream<TaskFrameMessage, TaskFrameMessage>;

interface Connection {
    readonly client: TasksClient;
    readonly stream: OutgoingStream;
    unansweredNotRun: boolean;
}

/** Trailer of a stream that a drained instance ends: it never runs the questions that it has not answered. */
const unansweredKey = "jasmineline-unanswered";
const unansweredNotRun = "not-run";

export interface TaskStreamsOptions {
    readonly clientFactory: PeerClientFactory;
    readonly post: (message: Message) => void;
    readonly traffic: PeerTrafficObserver;
}

export class TaskStreams implements Sink<PeerSend | PeerAnswer | FleetDrained>, AsyncDisposable {
    readonly accepts = [PeerKind.Send, PeerKind.Answer, FleetKind.Drained];
    private readonly options: TaskStreamsOptions;
    private readonly outgoing = new Map<string, Connection>();
    private readonly incoming = new Map<string, IncomingStream>();
    /** Peers whose reports of load were ignored. */
    private readonly reportedPeers = new Set<string>();
    private nextStreamNumber = 0;
    private drained = false;
    private disposed = false;

    constructor(options: TaskStreamsOptions) {
        this.options = options;
    }

    /** Adds the Tasks service to a server that was created by `createPeerServer`. */
    register(server: Server): void {
        const service: TasksServer = { pass: stream => this.acceptIncoming(stream) };
        server.addService(TasksService, service);
    }

    deliver(message: PeerSend | PeerAnswer | FleetDrained): void {
        if (message.kind === FleetKind.Drained) {
            this.drained = true;
            return;
        }
        if (message.kind === PeerKind.Send) {
            const { stream } = this.outgoing.get(message.address) ?? this.openOutgoing(message.address);
            const encoded = encodeQuestion(message.question);
            this.options.traffic.recordSent("question", encoded.body.length, message.address);
            stream.write(encoded);
            return;
        }
        const stream = this.incoming.get(message.streamId);
        if (stream !== undefined) {
            const encoded = encodeResult(message.result);
            this.options.traffic.recordSent("result", encoded.body.length, message.streamId);
            stream.write(encoded);
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.outgoing.forEach(({ client, stream }) => {
            stream.cancel();
            client.close();
        });
        this.outgoing.clear();
        this.disposed = true;
        this.incoming.forEach(stream => this.endIncoming(stream));
        this.incoming.clear();
    }

    private endIncoming(stream: IncomingStream): void {
        const trailer = new Metadata();
        if (this.drained) {
            trailer.set(unansweredKey, unansweredNotRun);
        }
        stream.end(trailer);
    }

    private openOutgoing(address: string): Connection {
        const client = this.options.clientFactory.createClient(TasksClient, address, ConnectionMode.Dedicated);
        const stream = client.pass();
        const connection: Connection = { client, stream, unansweredNotRun: false };
        this.outgoing.set(address, connection);
        stream.on("data", (message: TaskFrameMessage) => this.handleResult(address, connection, message));
        stream.on("status", ({ metadata }: StatusObject) => {
            connection.unansweredNotRun = metadata.get(unansweredKey).includes(unansweredNotRun);
        });
        stream.on("error", () => this.closeOutgoing(address, connection));
        stream.on("end", () => this.closeOutgoing(address, connection));
        return connection;
    }

    private handleResult(address: string, connection: Connection, message: TaskFrameMessage): void {
        try {
            const result = decodeResult(message);
            this.options.traffic.recordReceived("result", message.body.length, address);
            this.reportIgnoredLoad(address, message, result);
            this.options.post({ kind: PeerKind.Answered, address, result } as PeerAnswered);
        }
        catch (error) {
            // The peer runs an incompatible release; its pending tasks fail like those of a lost connection.
            this.reportRefused(address, error);
            this.closeOutgoing(address, connection);
        }
    }

    private closeOutgoing(address: string, connection: Connection): void {
        if (this.outgoing.get(address) === connection) {
            this.outgoing.delete(address);
            connection.stream.cancel();
            connection.client.close();
            const { unansweredNotRun } = connection;
            this.options.post({ kind: PeerKind.Lost, address, unansweredNotRun } as PeerLost);
        }
    }

    private acceptIncoming(stream: IncomingStream): void {
        if (this.disposed) {
            // The server accepts until it is shut down.
            stream.on("error", () => undefined);
            return this.endIncoming(stream);
        }
        const streamId = `w${this.nextStreamNumber++}`;
        this.incoming.set(streamId, stream);
        stream.on("data", (message: TaskFrameMessage) => this.handleQuestion(streamId, stream, message));
        stream.on("error", () => this.closeIncoming(streamId));
        stream.on("cancelled", () => this.closeIncoming(streamId));
        stream.on("end", () => this.closeIncoming(streamId));
    }

    private handleQuestion(streamId: string, stream: IncomingStream, message: TaskFrameMessage): void {
        try {
            const question = decodeQuestion(message);
            this.options.traffic.recordReceived("question", message.body.length, streamId);
            this.reportIgnoredLoad(streamId, message, question);
            this.options.post({ kind: PeerKind.Asked, streamId, question } as PeerAsked);
        }
        catch (error) {
            // The peer runs an incompatible release; the end of the stream tells it that its tasks failed.
            this.reportRefused(streamId, error);
            stream.end();
            this.closeIncoming(streamId);
        }
    }

    /** Reports a peer once, because all its messages may have the same fault. */
    private reportIgnoredLoad(peer: string, message: TaskFrameMessage, decoded: PeerQuestion | PeerResult): void {
        if (isLoadIgnored(message, decoded) && !this.reportedPeers.has(peer)) {
            this.reportedPeers.add(peer);
            this.options.post({ kind: PeerKind.LoadIgnored, peer } as PeerLoadIgnored);
        }
    }

    private reportRefused(peer: string, error: unknown): void {
        const refused = { kind: PeerKind.FrameRefused, peer, reason: (error as Error).message };
        this.options.post(refused as PeerFrameRefused);
    }

    private closeIncoming(streamId: string): void {
        this.reportedPeers.delete(streamId);
        if (this.incoming.delete(streamId)) {
            this.options.post({ kind: PeerKind.Gone, streamId } as PeerGone);
        }
    }
}
