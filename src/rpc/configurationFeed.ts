/** Server side of the configuration feed: a control member streams configuration updates to its subscribers. */
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

/** Updates queued for a slow subscriber; at this number its stream is closed, and it subscribes again. */
const maximumQueuedUpdates = 64;

type FeedStream = ServerWritableStream<SubscribeRequest, ConfigurationPart>;

interface Subscription {
    readonly stream: FeedStream;
    /** Updates that are not yet written completely. */
    queuedUpdates: number;
}

export interface ConfigurationFeedOptions {
    readonly post: (message: Message) => void;
}

export class ConfigurationFeed implements Sink<FeedSend>, AsyncDisposable {
    readonly accepts = [FeedKind.Send];
    private readonly options: ConfigurationFeedOptions;
    private readonly subscriptions = new Map<string, Subscription>();
    private readonly encode = memoizeEncoder(encodeUpdate);
    private nextStreamNumber = 0;

    constructor(options: ConfigurationFeedOptions) {
        this.options = options;
    }

    /** Adds the Control service to a server that was created by `createPeerServer`. */
    register(server: Server): void {
        const service: ControlServer = { subscribe: stream => this.acceptSubscription(stream) };
        server.addService(ControlService, service);
    }

    get subscriberCount(): number {
        return this.subscriptions.size;
    }

    deliver({ streamId, update }: FeedSend): void {
        const subscription = this.subscriptions.get(streamId);
        if (subscription === undefined) {
            return;
        }
        const { stream } = subscription;
        if (subscription.queuedUpdates >= maximumQueuedUpdates) {
            this.closeSubscription(streamId);
            stream.emit("error", { code: status.RESOURCE_EXHAUSTED, details: "the subscriber is too slow" });
            return;
        }
        subscription.queuedUpdates += 1;
        for (const part of this.encode(update)) {
            stream.write(part, () => {
                subscription.queuedUpdates -= part.last ? 1 : 0;
            });
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.subscriptions.forEach(({ stream }) => stream.end());
        this.subscriptions.clear();
    }

    private acceptSubscription(stream: FeedStream): void {
        const streamId = `feed${this.nextStreamNumber++}`;
        this.subscriptions.set(streamId, { stream, queuedUpdates: 0 });
        stream.once("cancelled", () => this.closeSubscription(streamId));
        stream.once("close", () => this.closeSubscription(streamId));
        // Confirms the subscription at once: a subscriber with the current version may get no update for a long time.
        stream.sendMetadata(new Metadata());
        const { version } = stream.request;
        this.options.post({ kind: FeedKind.Subscribe, streamId, version } as FeedSubscribe);
    }

    private closeSubscription(streamId: string): void {
        if (this.subscriptions.delete(streamId)) {
            this.options.post({ kind: FeedKind.Unsubscribe, streamId } as FeedUnsubscribe);
        }
    }
}
