/** The configuration feed on the side of an instance that is no control member. */
import type { ClientReadableStream } from "@grpc/grpc-js";
import { FeedKind, type FeedReceived, type FeedResubscribe, UpdateKind } from "../model/feedMessages.ts";
import { FleetKind, type MembersKnown } from "../model/fleetMessages.ts";
import type { Message } from "../pipeline/message.ts";
import type { SeededRandom } from "../pipeline/seededRandom.ts";
import type { Sink } from "../pipeline/sink.ts";
import { decodeUpdate } from "./configurationCodec.ts";
import { type ConfigurationPart, ControlClient } from "./generated/control.ts";
import { ConnectionMode, type PeerClientFactory } from "./peerClientFactory.ts";
import { RetryBackoff } from "./retryBackoff.ts";

/**
 * Silence after which a member is left for one that has a later version, and what it grows by with each one left until an
 * update is complete: a link that is full of other traffic may hold up the first part for longer than the first limit.
 */
const firstSilenceMs = 300;
const silenceGrowth = 2;

/** Longest silence; an instance then still tries another member within the users' time for a configuration. */
const longestSilenceMs = 2_400;

export interface ConfigurationSubscriberOptions {
    readonly clientFactory: PeerClientFactory;
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
    private stream: ClientReadableStream<ConfigurationPart> | undefined;
    /** Member of the stream. */
    private address = "";
    private readonly retryDelay: RetryBackoff;
    private retry: NodeJS.Timeout | undefined;
    /** Limit of an attempt; a member confirms a subscription at once. */
    private opening: NodeJS.Timeout | undefined;
    private closed = false;
    /** Parts of the update that is arriving. */
    private parts: ConfigurationPart[] = [];
    private silenceLimitMs = firstSilenceMs;
    /** When the stream was opened, or anything last arrived on it. */
    private heardMs = 0;

    constructor(options: ConfigurationSubscriberOptions) {
        this.options = options;
        this.addresses = options.addresses;
        this.position = options.random.nextInteger(options.addresses.length);
        this.retryDelay = new RetryBackoff(options.random);
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
        if (message.addresses === undefined) {
            this.reopenLater();
            return;
        }
        // To leave a member that is sending would start the update anew, again and again on a slow link.
        if (this.stream !== undefined && performance.now() - this.heardMs < this.silenceLimitMs) {
            return;
        }
        this.silenceLimitMs = Math.min(longestSilenceMs, this.silenceLimitMs * silenceGrowth);
        this.choose(message.addresses);
        this.drop();
        clearTimeout(this.retry);
        this.open();
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.closed = true;
        clearTimeout(this.retry);
        this.drop();
    }

    /** One of the members that have what is missing, at random so that instances spread; the silent one only if alone. */
    private choose(ahead: readonly string[]): void {
        const silent = this.addresses[this.position % this.addresses.length];
        const others = ahead.filter(address => address !== silent);
        const candidates = others.length > 0 ? others : ahead;
        const address = candidates[this.options.random.nextInteger(candidates.length)]!;
        this.addresses = [...this.addresses.filter(other => other !== address), address];
        this.position = this.addresses.length - 1;
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
        const { clientFactory } = this.options;
        const { addresses } = this;
        this.address = addresses[this.position % addresses.length]!;
        this.client = clientFactory.createClient(ControlClient, this.address, ConnectionMode.Dedicated);
        const stream = this.client.subscribe({ version: this.version });
        this.stream = stream;
        this.heardMs = performance.now();
        this.opening = setTimeout(() => this.lose(stream), this.retryDelay.attemptTimeoutMs());
        stream.on("metadata", () => this.confirm(stream));
        stream.on("data", (part: ConfigurationPart) => this.receive(stream, part));
        stream.on("error", () => this.lose(stream));
        stream.on("end", () => this.lose(stream));
    }

    private confirm(stream: ClientReadableStream<ConfigurationPart>): void {
        if (stream === this.stream) {
            clearTimeout(this.opening);
            this.retryDelay.reset();
            this.heardMs = performance.now();
        }
    }

    private receive(stream: ClientReadableStream<ConfigurationPart>, part: ConfigurationPart): void {
        if (stream !== this.stream) {
            return;
        }
        this.heardMs = performance.now();
        this.parts.push(part);
        if (!part.last) {
            return;
        }
        const parts = this.parts;
        this.parts = [];
        this.silenceLimitMs = firstSilenceMs;
        try {
            const update = decodeUpdate(parts);
            this.version = update.kind === UpdateKind.Snapshot ? update.configuration.version : update.toVersion;
            this.options.post({ kind: FeedKind.Received, address: this.address, update } as FeedReceived);
        }
        catch {
            this.lose(stream);
        }
    }

    private lose(stream: ClientReadableStream<ConfigurationPart>): void {
        if (stream === this.stream) {
            this.position += 1;
            this.reopenLater();
        }
    }

    private reopenLater(): void {
        this.drop();
        clearTimeout(this.retry);
        if (!this.closed) {
            this.retry = setTimeout(() => this.open(), this.retryDelay.nextDelayMs());
        }
    }

    private drop(): void {
        const { stream, client } = this;
        clearTimeout(this.opening);
        this.parts = [];
        this.stream = undefined;
        this.client = undefined;
        stream?.cancel();
        client?.close();
    }
}
