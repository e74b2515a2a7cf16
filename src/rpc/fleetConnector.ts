/** Attachments on the attaching side: one to each control member that is known. */
import type { ClientDuplexStream } from "@grpc/grpc-js";
import { type Attached, type Detached, FleetKind, type MembersKnown, type SendFrame } from "../model/fleetMessages.ts";
import type { Message } from "../pipeline/message.ts";
import type { SeededRandom } from "../pipeline/seededRandom.ts";
import type { Sink } from "../pipeline/sink.ts";
import type { PeerTrafficObserver } from "../telemetry/loadLog.ts";
import { decodeFrame, encodeFrame } from "./fleetCodec.ts";
import { FleetClient, type FleetFrameMessage } from "./generated/fleet.ts";
import { ConnectionMode, type PeerClientFactory } from "./peerClientFactory.ts";
import { RetryBackoff } from "./retryBackoff.ts";

/**
 * Life of an attachment after which its loss counts as a first failure. A member that cuts off a slow instance, or is too
 * busy to keep it, would otherwise get its hello again after the shortest pause each time.
 */
const settledMs = 2_000;

type Stream = ClientDuplexStream<FleetFrameMessage, FleetFrameMessage>;

interface Attachment {
    readonly attachmentId: string;
    readonly address: string;
    readonly client: FleetClient;
    readonly stream: Stream;
    /** Ends the attempt when no frame arrives in time. */
    readonly firstFrame: NodeJS.Timeout;
    settled: NodeJS.Timeout | undefined;
}

export interface FleetConnectorOptions {
    readonly clientFactory: PeerClientFactory;
    readonly post: (message: Message) => void;
    readonly random: SeededRandom;
    readonly traffic: PeerTrafficObserver;
    /** `host:port` of this instance's own listener, to which it does not attach. */
    readonly ownAddress: string;
}

export class FleetConnector implements Sink<SendFrame | MembersKnown>, AsyncDisposable {
    readonly accepts = [FleetKind.SendFrame, FleetKind.MembersKnown];
    private readonly options: FleetConnectorOptions;
    private readonly attachments = new Map<string, Attachment>();
    private readonly retries = new Map<string, NodeJS.Timeout>();
    private readonly delays = new Map<string, RetryBackoff>();
    private wanted: ReadonlySet<string> = new Set();
    private nextAttachment = 0;
    private closed = false;

    constructor(options: FleetConnectorOptions) {
        this.options = options;
    }

    deliver(message: SendFrame | MembersKnown): void {
        if (message.kind === FleetKind.SendFrame) {
            this.send(message);
            return;
        }
        this.wanted = new Set(message.addresses.filter(address => address !== this.options.ownAddress));
        const open = [...this.attachments.values()];
        open.filter(({ address }) => !this.wanted.has(address)).forEach(attachment => this.lose(attachment));
        [...this.delays.keys()].filter(address => !this.wanted.has(address)).forEach(address =>
            this.delays.delete(address)
        );
        this.wanted.forEach(address => {
            if (!open.some(attachment => attachment.address === address) && !this.retries.has(address)) {
                this.open(address);
            }
        });
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.closed = true;
        this.retries.forEach(timer => clearTimeout(timer));
        this.attachments.forEach(({ stream, client, firstFrame, settled }) => {
            clearTimeout(firstFrame);
            clearTimeout(settled);
            stream.cancel();
            client.close();
        });
        this.attachments.clear();
    }

    private send({ attachmentId, frame }: SendFrame): void {
        const attachment = this.attachments.get(attachmentId);
        if (attachment !== undefined) {
            const encoded = encodeFrame(frame);
            this.options.traffic.recordSent(frame.kind, encoded.body.length, attachment.address);
            attachment.stream.write(encoded);
        }
    }

    private open(address: string): void {
        const { clientFactory, post } = this.options;
        const attachmentId = `out${this.nextAttachment++}`;
        const client = clientFactory.createClient(FleetClient, address, ConnectionMode.Dedicated);
        const stream = client.attach();
        const firstFrame = setTimeout(() => this.lose(attachment), this.delayOf(address).attemptTimeoutMs());
        const attachment: Attachment = { attachmentId, address, client, stream, firstFrame, settled: undefined };
        this.attachments.set(attachmentId, attachment);
        stream.on("data", (message: FleetFrameMessage) => this.receive(attachment, message));
        stream.on("error", () => this.lose(attachment));
        stream.on("end", () => this.lose(attachment));
        post({ kind: FleetKind.Attached, attachmentId, address } as Attached);
    }

    private receive(attachment: Attachment, message: FleetFrameMessage): void {
        clearTimeout(attachment.firstFrame);
        attachment.settled ??= setTimeout(() => this.delays.get(attachment.address)?.reset(), settledMs);
        const frame = decodeFrame(message);
        if (frame === undefined) {
            this.lose(attachment);
            return;
        }
        this.options.traffic.recordReceived(frame.kind, message.body.length, attachment.address);
        this.options.post({ kind: FleetKind.FrameReceived, attachmentId: attachment.attachmentId, frame } as Message);
    }

    private lose(attachment: Attachment): void {
        const { attachmentId, address, client, stream, firstFrame, settled } = attachment;
        if (!this.attachments.delete(attachmentId)) {
            return;
        }
        clearTimeout(firstFrame);
        clearTimeout(settled);
        stream.cancel();
        client.close();
        this.options.post({ kind: FleetKind.Detached, attachmentId } as Detached);
        if (this.closed || !this.wanted.has(address)) {
            return;
        }
        this.retries.set(
            address,
            setTimeout(() => {
                this.retries.delete(address);
                if (this.wanted.has(address)) {
                    this.open(address);
                }
            }, this.delayOf(address).nextDelayMs()),
        );
    }

    private delayOf(address: string): RetryBackoff {
        const delay = this.delays.get(address) ?? new RetryBackoff(this.options.random);
        this.delays.set(address, delay);
        return delay;
    }
}
