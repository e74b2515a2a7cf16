/** The configuration feed on the side of a control member: source of subscriptions and sink of updates. */
import { Metadata, type Server, type ServerWritableStream, status } from "@grpc/grpc-js";
import { FeedKind, type FeedSend, type FeedSubscribe, type FeedUnsubscribe } from "../model/feedMessages.ts";
import type { Message } from "../pipeline/message.ts";
import type { Sink } from "../pipeline/sink.ts";
import { encodeUpdate } from "./configurationCodec.ts";
import {
    type ConfigurationUpdate,
    type ControlServer,
    ControlService,
    type SubscribeRequest,
} from "./generated/control.ts";

/** Updates that wait for a slow subscriber; above this it is cut off and subscribes again. */
const maximumWaiting = 64;

type FeedStream = ServerWritableStream<SubscribeRequest, ConfigurationUpdate>;

export interface ConfigurationFeedOptions {
    readonly post: (message: Message) => void;
}

export class ConfigurationFeed implements Sink<FeedSend>, AsyncDisposable {
    readonly accepts = [FeedKind.Send];
    private readonly options: ConfigurationFeedOptions;
    private readonly streams = new Map<string, FeedStream>();
    private nextStream = 0;

    constructor(options: ConfigurationFeedOptions) {
        this.options = options;
    }

    /** Adds the Control service to a server made by `createPeerServer`. */
    addTo(server: Server): void {
        const service: ControlServer = { subscribe: stream => this.open(stream) };
        server.addService(ControlService, service);
    }

    /** Subscribers at present. */
    get subscribers(): number {
        return this.streams.size;
    }

    deliver({ streamId, update }: FeedSend): void {
        const stream = this.streams.get(streamId);
        if (stream === undefined) {
            return;
        }
        if (stream.writableLength >= maximumWaiting) {
            this.close(streamId);
            stream.emit("error", { code: status.RESOURCE_EXHAUSTED, details: "the subscriber is too slow" });
            return;
        }
        stream.write(encodeUpdate(update));
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.streams.forEach(stream => stream.end());
        this.streams.clear();
    }

    private open(stream: FeedStream): void {
        const streamId = `feed${this.nextStream++}`;
        this.streams.set(streamId, stream);
        stream.once("cancelled", () => this.close(streamId));
        stream.once("close", () => this.close(streamId));
        // The subscriber may have the current version, and then gets nothing else for long.
        stream.sendMetadata(new Metadata());
        const { version } = stream.request;
        this.options.post({ kind: FeedKind.Subscribe, streamId, version } as FeedSubscribe);
    }

    private close(streamId: string): void {
        if (this.streams.delete(streamId)) {
            this.options.post({ kind: FeedKind.Unsubscribe, streamId } as FeedUnsubscribe);
        }
    }
}
