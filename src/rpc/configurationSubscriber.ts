/** Client side of the configuration feed, for instances that are not control members. */
import type { ClientReadableStream } from "@grpc/grpc-js";
import {
    FeedKind,
    type FeedLost,
    type FeedOpened,
    type FeedReceived,
    type FeedResubscribe,
    UpdateKind,
} from "../model/feedMessages.ts";
import { FleetKind, type MembersKnown } from "../model/fleetMessages.ts";
import type { Message } from "../pipeline/message.ts";
import type { SeededRandom } from "../pipeline/seededRandom.ts";
import type { Sink } from "../pipeline/sink.ts";
import { decodeUpdate } from "./configurationCodec.ts";
import { type ConfigurationPart, ControlClient } from "./generated/control.ts";
import { ConnectionMode, type PeerClientFactory } from "./peerClientFactory.ts";
import { RetryBackoff } from "./retryBackoff.ts";

/**
 * Time without data or answer after which the subscriber switches to a member that has a later version. It grows by the
 * factor with each switch until an update is complete, because on a link that is congested by other traffic the first
 * part may take longer than the initial timeout.
 */
const initialIdleTimeoutMs = 300;
const idleTimeoutFactor = 2;

/** Short enough to try another member within the time in which a new configuration must be applied. */
const maximumIdleTimeoutMs = 2_400;

export interface ConfigurationSubscriberOptions {
    readonly clientFactory: PeerClientFactory;
    /** `host:port` of the control members. */
    readonly addresses: readonly string[];
    readonly post: (message: Message) => void;
    /** Selects members at random, so that the instances are spread over them. */
    readonly random: SeededRandom;
}

/** Maintains one subscription to one of the control members. Call `start` once. */
export class ConfigurationSubscriber implements Sink<FeedResubscribe | MembersKnown>, AsyncDisposable {
    readonly accepts = [FeedKind.Resubscribe, FleetKind.MembersKnown];
    private readonly options: ConfigurationSubscriberOptions;
    private addresses: readonly string[];
    private addressIndex: number;
    private version = 0;
    private client: ControlClient | undefined;
    private stream: ClientReadableStream<ConfigurationPart> | undefined;
    /** Address of the member at the other end of the stream, or of the last one while there is none. */
    private streamAddress = "";
    private readonly backoff: RetryBackoff;
    private retryTimer: NodeJS.Timeout | undefined;
    /** Timeout of the current attempt; a member confirms a subscription at once. */
    private openTimer: NodeJS.Timeout | undefined;
    private isClosed = false;
    /** Received parts of an incomplete update. */
    private parts: ConfigurationPart[] = [];
    private idleTimeoutMs = initialIdleTimeoutMs;
    /** Time when the stream was opened or last received data. */
    private lastActivityAtMs = 0;

    constructor(options: ConfigurationSubscriberOptions) {
        this.options = options;
        this.addresses = options.addresses;
        this.addressIndex = options.random.nextInteger(options.addresses.length);
        this.backoff = new RetryBackoff(options.random);
    }

    start(): void {
        this.openStream();
    }

    deliver(message: FeedResubscribe | MembersKnown): void {
        if (message.kind === FleetKind.MembersKnown) {
            this.updateMembers(message.addresses);
            return;
        }
        this.version = message.version;
        if (message.addresses === undefined) {
            this.scheduleReopen("an update was missed");
            return;
        }
        // Switching away from a member that is sending would restart the transfer, on a slow link again and again.
        if (this.stream !== undefined && performance.now() - this.lastActivityAtMs < this.idleTimeoutMs) {
            return;
        }
        this.idleTimeoutMs = Math.min(maximumIdleTimeoutMs, this.idleTimeoutMs * idleTimeoutFactor);
        this.selectMember(message.addresses);
        this.closeStream("other members have a later version");
        clearTimeout(this.retryTimer);
        this.openStream();
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.isClosed = true;
        clearTimeout(this.retryTimer);
        this.closeStream(undefined);
    }

    /**
     * Selects one of the members that have the missing version, at random so that instances are spread over them. The
     * member of the last attempt, which is unresponsive, is selected only if it is the only one.
     */
    private selectMember(upToDateAddresses: readonly string[]): void {
        const others = upToDateAddresses.filter(address => address !== this.streamAddress);
        const candidates = others.length > 0 ? others : upToDateAddresses;
        const address = candidates[this.options.random.nextInteger(candidates.length)]!;
        this.addresses = [...this.addresses.filter(other => other !== address), address];
        this.addressIndex = this.addresses.length - 1;
    }

    /** Updates the list of members, and switches to another one if the current one is no longer in the list. */
    private updateMembers(addresses: readonly string[]): void {
        const current = this.addresses[this.addressIndex % this.addresses.length]!;
        this.addresses = addresses;
        const index = addresses.indexOf(current);
        if (index !== -1) {
            this.addressIndex = index;
        }
        else {
            // Failures at addresses that are gone say nothing about the new ones.
            this.backoff.reset();
            this.scheduleReopen("the address is no longer that of a member");
        }
    }

    private openStream(): void {
        const { clientFactory } = this.options;
        const { addresses } = this;
        this.streamAddress = addresses[this.addressIndex % addresses.length]!;
        this.client = clientFactory.createClient(ControlClient, this.streamAddress, ConnectionMode.Dedicated);
        const stream = this.client.subscribe({ version: this.version });
        this.stream = stream;
        this.lastActivityAtMs = performance.now();
        // A lagging member that answers resets the backoff between two attempts at a slower one that is up to date.
        const timeoutMs = Math.max(this.idleTimeoutMs, this.backoff.attemptTimeoutMs());
        this.openTimer = setTimeout(() => this.switchMember(stream, "no answer"), timeoutMs);
        stream.on("metadata", () => this.confirmStream(stream));
        stream.on("data", (part: ConfigurationPart) => this.receivePart(stream, part));
        stream.on("error", error => this.switchMember(stream, error.message));
        stream.on("end", () => this.switchMember(stream, "the member ended it"));
    }

    private confirmStream(stream: ClientReadableStream<ConfigurationPart>): void {
        if (stream === this.stream) {
            clearTimeout(this.openTimer);
            this.backoff.reset();
            this.lastActivityAtMs = performance.now();
            const { streamAddress: address, version } = this;
            this.options.post({ kind: FeedKind.Opened, address, version } as FeedOpened);
        }
    }

    private receivePart(stream: ClientReadableStream<ConfigurationPart>, part: ConfigurationPart): void {
        if (stream !== this.stream) {
            return;
        }
        this.lastActivityAtMs = performance.now();
        this.parts.push(part);
        if (!part.last) {
            return;
        }
        const parts = this.parts;
        this.parts = [];
        this.idleTimeoutMs = initialIdleTimeoutMs;
        try {
            const update = decodeUpdate(parts);
            this.version = update.kind === UpdateKind.Snapshot ? update.configuration.version : update.toVersion;
            this.options.post({ kind: FeedKind.Received, address: this.streamAddress, update } as FeedReceived);
        }
        catch (error) {
            this.switchMember(stream, `malformed update: ${(error as Error).message}`);
        }
    }

    private switchMember(stream: ClientReadableStream<ConfigurationPart>, reason: string): void {
        if (stream === this.stream) {
            this.addressIndex += 1;
            this.scheduleReopen(reason);
        }
    }

    private scheduleReopen(reason: string): void {
        this.closeStream(reason);
        clearTimeout(this.retryTimer);
        if (!this.isClosed) {
            this.retryTimer = setTimeout(() => this.openStream(), this.backoff.nextDelayMs());
        }
    }

    /** @param reason for the log; undefined at the end of the process */
    private closeStream(reason: string | undefined): void {
        const { stream, client, streamAddress: address } = this;
        clearTimeout(this.openTimer);
        this.parts = [];
        this.stream = undefined;
        this.client = undefined;
        stream?.cancel();
        client?.close();
        if (stream !== undefined && reason !== undefined) {
            this.options.post({ kind: FeedKind.Lost, address, reason } as FeedLost);
        }
    }
}
