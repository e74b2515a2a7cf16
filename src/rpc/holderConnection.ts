/** One multiplexed stream to the holder at one address, on its own connection. */
import type { ClientDuplexStream } from "@grpc/grpc-js";
import { HolderClient, type WorkRequest, type WorkResponse } from "./generated/holder.ts";
import { ConnectionMode, type PeerClientFactory } from "./peerClientFactory.ts";

/** Requests that were not answered before their stream was closed. */
export interface LostRequests {
    /** Not sent, because the holder had not accepted the stream; these were surely not run. */
    readonly unsent: readonly WorkRequest[];
    /** Sent but not answered; these may have run. */
    readonly inFlight: readonly WorkRequest[];
    readonly reason: string;
}

export interface HolderConnectionOptions {
    readonly address: string;
    readonly clientFactory: PeerClientFactory;
    /** Timeout for the holder to accept the stream. */
    readonly openTimeoutMs: number;
    readonly onResponse: (request: WorkRequest, response: WorkResponse) => void;
    /** Called once, when the stream is closed. */
    readonly onLost: (lost: LostRequests) => void;
}

export class HolderConnection {
    private readonly options: HolderConnectionOptions;
    private readonly client: HolderClient;
    private readonly stream: ClientDuplexStream<WorkRequest, WorkResponse>;
    private readonly openTimer: NodeJS.Timeout;
    /** Requests that wait for the holder to accept the stream. */
    private queuedRequests: WorkRequest[] = [];
    private readonly inFlight = new Map<string, WorkRequest>();
    private isAccepted = false;
    private isClosed = false;

    constructor(options: HolderConnectionOptions) {
        this.options = options;
        this.client = options.clientFactory.createClient(HolderClient, options.address, ConnectionMode.Dedicated);
        this.stream = this.client.work();
        this.stream.on("metadata", () => this.handleAccepted());
        this.stream.on("data", (response: WorkResponse) => this.handleResponse(response));
        this.stream.on("error", error => this.close(error.message));
        this.stream.on("end", () => this.close("the holder ended the stream"));
        this.openTimer = setTimeout(
            () => this.close("the holder did not accept the stream in time"),
            options.openTimeoutMs,
        );
    }

    send(request: WorkRequest): void {
        if (!this.isAccepted) {
            this.queuedRequests.push(request);
            return;
        }
        if (request.sessionEnd === undefined) {
            this.inFlight.set(request.requestId, request);
        }
        this.stream.write(request);
    }

    /** Closes the stream and reports its unanswered requests. */
    close(reason: string): void {
        if (this.isClosed) {
            return;
        }
        this.isClosed = true;
        clearTimeout(this.openTimer);
        this.stream.cancel();
        this.client.close();
        this.options.onLost({ unsent: this.queuedRequests, inFlight: [...this.inFlight.values()], reason });
    }

    private handleAccepted(): void {
        clearTimeout(this.openTimer);
        if (!this.isClosed) {
            this.isAccepted = true;
            const requests = this.queuedRequests;
            this.queuedRequests = [];
            requests.forEach(request => this.send(request));
        }
    }

    // A late or duplicate answer has no matching request; it is discarded so that it cannot be taken for another
    // answer.
    private handleResponse(response: WorkResponse): void {
        const request = this.inFlight.get(response.requestId);
        if (request !== undefined && !this.isClosed) {
            this.inFlight.delete(response.requestId);
            this.options.onResponse(request, response);
        }
    }
}
