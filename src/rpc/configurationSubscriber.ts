/** The configuration feed on the side of an instance that is no control member. */
import type { ClientReadableStream } from "@grpc/grpc-js";
import { FeedKind, type FeedReceived, type FeedResubscribe, UpdateKind } from "../model/feedMessages.ts";
import { FleetKind, type MembersKnown } from "../model/fleetMessages.ts";
import type { Message } from "../pipeline/message.ts";
import type { SeededRandom } from "../pipeline/seededRandom.ts";
import type { Sink } from "../pipeline/sink.ts";
import { decodeUpdate } from "./configurationCodec.ts";
import { type ConfigurationUpdate, ControlClient } from "./generated/control.ts";
import { ConnectionUse, type PeerNetwork } from "./peerNetwork.ts";
import { RetryDelay } from "./retryDelay.ts";

export interface ConfigurationSubscriberOptions {
    readonly network: PeerNetwork;
    /** `host:port` of the control members. */
    readonly addresses: readonly string[];
    readonly post: (message: Message) => void;
    /** Spreads the instances over the members. */
    readonly random: SeededRandom;
}

/** Keeps one subscription open, to any member. Call `start` once. */
export class ConfigurationSubscriber implements Sink<FeedResubscribe | MembersKnown>, AsyncDisposable {
    readonly accepts = [FeedKind.Resubscribe, FleetKind.MembersKnown];
    private readonly options: ConfigurationSubscriberOptions;
    private addresses: readonly string[];
    private position: number;
    private version = 0;
    private client: ControlClient | undefined;
    private stream: ClientReadableStream<ConfigurationUpdate> | undefined;
    private readonly retryDelay: RetryDelay;
    private retry: NodeJS.Timeout | undefined;
    /** Limit of an attempt; a member confirms a subscription at once. */
    private opening: NodeJS.Timeout | undefined;
    private closed = false;

    constructor(options: ConfigurationSubscriberOptions) {
        this.options = options;
        this.addresses = options.addresses;
        this.position = options.random.nextInteger(options.addresses.length);
        this.retryDelay = new RetryDelay(options.random);
    }

    start(): void {
        this.open();
    }

    deliver(message: FeedResubscribe | MembersKnown): void {
        if (message.kind === FleetKind.MembersKnown) {
            this.follow(message.addresses);
            return;
        }
        this.version = message.version;
        if (message.address === undefined) {
            this.reopenLater();
            return;
        }
        // The member is known to have what is missing, so there is nothing to wait for.
        const { address } = message;
        this.addresses = [...this.addresses.filter(other => other !== address), address];
        this.position = this.addresses.length - 1;
        this.drop();
        clearTimeout(this.retry);
        this.open();
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.closed = true;
        clearTimeout(this.retry);
        this.drop();
    }

    /** Keeps the subscription if its member is still one. */
    private follow(addresses: readonly string[]): void {
        const current = this.addresses[this.position % this.addresses.length]!;
        this.addresses = addresses;
        const position = addresses.indexOf(current);
        if (position !== -1) {
            this.position = position;
        }
        else {
            this.reopenLater();
        }
    }

    private open(): void {
        const { network } = this.options;
        const { addresses } = this;
        const address = addresses[this.position % addresses.length]!;
        this.client = network.createClient(ControlClient, address, ConnectionUse.Own);
        const stream = this.client.subscribe({ version: this.version });
        this.stream = stream;
        this.opening = setTimeout(() => this.lose(stream), this.retryDelay.attemptMs());
        stream.on("metadata", () => this.confirm(stream));
        stream.on("data", (message: ConfigurationUpdate) => this.receive(stream, message));
        stream.on("error", () => this.lose(stream));
        stream.on("end", () => this.lose(stream));
    }

    private confirm(stream: ClientReadableStream<ConfigurationUpdate>): void {
        if (stream === this.stream) {
            clearTimeout(this.opening);
            this.retryDelay.reset();
        }
    }

    private receive(stream: ClientReadableStream<ConfigurationUpdate>, message: ConfigurationUpdate): void {
        if (stream !== this.stream) {
            return;
        }
        try {
            const update = decodeUpdate(message);
            this.version = update.kind === UpdateKind.Snapshot ? update.configuration.version : update.toVersion;
            this.options.post({ kind: FeedKind.Received, update } as FeedReceived);
        }
        catch {
            this.lose(stream);
        }
    }

    private lose(stream: ClientReadableStream<ConfigurationUpdate>): void {
        if (stream === this.stream) {
            this.position += 1;
            this.reopenLater();
        }
    }

    private reopenLater(): void {
        this.drop();
        clearTimeout(this.retry);
        if (!this.closed) {
            this.retry = setTimeout(() => this.open(), this.retryDelay.next());
        }
    }

    private drop(): void {
        const { stream, client } = this;
        clearTimeout(this.opening);
        this.stream = undefined;
        this.client = undefined;
        stream?.cancel();
        client?.close();
    }
}
