/** The configuration feed on the side of a control member: source of subscriptions and sink of updates. */
import { Metadata, type Server, type ServerWritableStream, status } from "@grpc/grpc-js";
import { FeedKind, type FeedSend, type FeedSubscribe, type FeedUnsubscribe } from "../model/feedMessages.ts";
import type { Message } from "../pipeline/message.ts";
import type { Sink } from "../pipeline/sink.ts";
import { encodeUpdate } from "./configurationCodec.ts";
import {
    type ConfigurationPart,
    type ControlServer,
    ControlService,
    type SubscribeRequest,
} from "./generated/control.ts";
import { memoizeEncoder } from "./memoizeEncoder.ts";

/** Updates that wait for a slow subscriber; above this it is cut off and subscribes again. */
const maximumWaiting = 64;

type FeedStream = ServerWritableStream<SubscribeRequest, ConfigurationPart>;

interface Subscription {
    readonly stream: FeedStream;
    /** Updates that are not written as a whole. */
    waiting: number;
}

export interface ConfigurationFeedOptions {
    readonly post: (message: Message) => void;
}

export class ConfigurationFeed implements Sink<FeedSend>, AsyncDisposable {
    readonly accepts = [FeedKind.Send];
    private readonly options: ConfigurationFeedOptions;
    private readonly subscriptions = new Map<string, Subscription>();
    private readonly encode = memoizeEncoder(encodeUpdate);
    private nextStream = 0;

    constructor(options: ConfigurationFeedOptions) {
        this.options = options;
    }

    /** Adds the Control service to a server made by `createPeerServer`. */
    register(server: Server): void {
        const service: ControlServer = { subscribe: stream => this.open(stream) };
        server.addService(ControlService, service);
    }

    /** Subscribers at present. */
    get subscriberCount(): number {
        return this.subscriptions.size;
    }

    deliver({ streamId, update }: FeedSend): void {
        const subscription = this.subscriptions.get(streamId);
        if (subscription === undefined) {
            return;
        }
        const { stream } = subscription;
        if (subscription.waiting >= maximumWaiting) {
            this.close(streamId);
            stream.emit("error", { code: status.RESOURCE_EXHAUSTED, details: "the subscriber is too slow" });
            return;
        }
        subscription.waiting += 1;
        for (const part of this.encode(update)) {
            stream.write(part, () => {
                subscription.waiting -= part.last ? 1 : 0;
            });
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.subscriptions.forEach(({ stream }) => stream.end());
        this.subscriptions.clear();
    }

    private open(stream: FeedStream): void {
        const streamId = `feed${this.nextStream++}`;
        this.subscriptions.set(streamId, { stream, waiting: 0 });
        stream.once("cancelled", () => this.close(streamId));
        stream.once("close", () => this.close(streamId));
        // The subscriber may have the current version, and then gets nothing else for long.
        stream.sendMetadata(new Metadata());
        const { version } = stream.request;
        this.options.post({ kind: FeedKind.Subscribe, streamId, version } as FeedSubscribe);
    }

    private close(streamId: string): void {
        if (this.subscriptions.delete(streamId)) {
            this.options.post({ kind: FeedKind.Unsubscribe, streamId } as FeedUnsubscribe);
        }
    }
}
