/** Client side of attachments: opens one to each known control member, and reopens those that are lost. */
import type { ClientDuplexStream } from "@grpc/grpc-js";
import { type Attached, type Detached, FleetKind, type MembersKnown, type SendFrame } from "../model/fleetMessages.ts";
import type { SeededRandom } from "../pipeline/seededRandom.ts";
import type { Sink } from "../pipeline/sink.ts";
import { encodeFrame, frameBytes } from "./fleetCodec.ts";
import { type FrameReceiverOptions, receiveFrame } from "./frameReceiver.ts";
import { FleetClient, type FleetFrameMessage } from "./generated/fleet.ts";
import { ConnectionMode, type PeerClientFactory } from "./peerClientFactory.ts";
import { RetryBackoff } from "./retryBackoff.ts";

/**
 * Time after which an attachment counts as stable and its backoff is reset. If the first frame already reset the
 * backoff, a member that closes the attachments of slow instances, or is overloaded, would get a new attachment after
 * the shortest delay each time.
 */
const stableAfterMs = 2_000;

type Stream = ClientDuplexStream<FleetFrameMessage, FleetFrameMessage>;

interface Attachment {
    readonly attachmentId: string;
    readonly address: string;
    readonly client: FleetClient;
    readonly stream: Stream;
    /** Closes the attachment if its first frame does not arrive in time. */
    readonly firstFrameTimer: NodeJS.Timeout;
    stableTimer: NodeJS.Timeout | undefined;
    /** The member reads permit messages. */
    readsPermitMessages: boolean;
}

export interface FleetConnectorOptions extends FrameReceiverOptions {
    readonly clientFactory: PeerClientFactory;
    readonly random: SeededRandom;
    /** `host:port` of the gRPC listener of this process, which does not attach to itself. */
    readonly ownAddress: string;
}

export class FleetConnector implements Sink<SendFrame | MembersKnown>, AsyncDisposable {
    readonly accepts = [FleetKind.SendFrame, FleetKind.MembersKnown];
    private readonly options: FleetConnectorOptions;
    private readonly attachments = new Map<string, Attachment>();
    private readonly retryTimers = new Map<string, NodeJS.Timeout>();
    private readonly backoffs = new Map<string, RetryBackoff>();
    private memberAddresses: ReadonlySet<string> = new Set();
    private nextAttachmentNumber = 0;
    private isClosed = false;

    constructor(options: FleetConnectorOptions) {
        this.options = options;
    }

    deliver(message: SendFrame | MembersKnown): void {
        if (message.kind === FleetKind.SendFrame) {
            this.send(message);
            return;
        }
        this.memberAddresses = new Set(message.addresses.filter(address => address !== this.options.ownAddress));
        const openAttachments = [...this.attachments.values()];
        openAttachments.filter(({ address }) => !this.memberAddresses.has(address)).forEach(attachment =>
            this.closeAttachment(attachment, "the address is no longer that of a member")
        );
        [...this.backoffs.keys()].filter(address => !this.memberAddresses.has(address)).forEach(address =>
            this.backoffs.delete(address)
        );
        this.memberAddresses.forEach(address => {
            if (!openAttachments.some(attachment => attachment.address === address) && !this.retryTimers.has(address)) {
                this.openAttachment(address);
            }
        });
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.isClosed = true;
        this.retryTimers.forEach(timer => clearTimeout(timer));
        this.attachments.forEach(({ stream, client, firstFrameTimer, stableTimer }) => {
            clearTimeout(firstFrameTimer);
            clearTimeout(stableTimer);
            stream.cancel();
            client.close();
        });
        this.attachments.clear();
    }

    private send({ attachmentId, frame }: SendFrame): void {
        const attachment = this.attachments.get(attachmentId);
        if (attachment !== undefined) {
            const encoded = encodeFrame(frame, attachment.readsPermitMessages);
            this.options.traffic.recordSent(frame.kind, frameBytes(encoded), attachment.address);
            attachment.stream.write(encoded);
        }
    }

    private openAttachment(address: string): void {
        const { clientFactory, post } = this.options;
        const attachmentId = `out${this.nextAttachmentNumber++}`;
        const client = clientFactory.createClient(FleetClient, address, ConnectionMode.Dedicated);
        const stream = client.attach();
        const firstFrameTimer = setTimeout(
            () => this.closeAttachment(attachment, "no answer"),
            this.getBackoff(address).attemptTimeoutMs(),
        );
        const attachment: Attachment = {
            attachmentId,
            address,
            client,
            stream,
            firstFrameTimer,
            stableTimer: undefined,
            readsPermitMessages: false,
        };
        this.attachments.set(attachmentId, attachment);
        stream.on("data", (message: FleetFrameMessage) => this.receive(attachment, message));
        stream.on("error", error => this.closeAttachment(attachment, error.message));
        stream.on("end", () => this.closeAttachment(attachment, "the member ended it"));
        post({ kind: FleetKind.Attached, attachmentId, address } as Attached);
    }

    private receive(attachment: Attachment, message: FleetFrameMessage): void {
        clearTimeout(attachment.firstFrameTimer);
        attachment.readsPermitMessages ||= message.readsPermitMessages === true;
        attachment.stableTimer ??= setTimeout(() => this.backoffs.get(attachment.address)?.reset(), stableAfterMs);
        if (!receiveFrame(message, attachment.attachmentId, attachment.address, this.options)) {
            this.closeAttachment(attachment, "malformed frame");
        }
    }

    private closeAttachment(attachment: Attachment, reason: string): void {
        const { attachmentId, address, client, stream, firstFrameTimer, stableTimer } = attachment;
        if (!this.attachments.delete(attachmentId)) {
            return;
        }
        clearTimeout(firstFrameTimer);
        clearTimeout(stableTimer);
        stream.cancel();
        client.close();
        this.options.post({ kind: FleetKind.Detached, attachmentId, reason } as Detached);
        if (this.isClosed || !this.memberAddresses.has(address)) {
            return;
        }
        this.retryTimers.set(
            address,
            setTimeout(() => {
                this.retryTimers.delete(address);
                if (this.memberAddresses.has(address)) {
                    this.openAttachment(address);
                }
            }, this.getBackoff(address).nextDelayMs()),
        );
    }

    private getBackoff(address: string): RetryBackoff {
        const backoff = this.backoffs.get(address) ?? new RetryBackoff(this.options.random);
        this.backoffs.set(address, backoff);
        return backoff;
    }
}
