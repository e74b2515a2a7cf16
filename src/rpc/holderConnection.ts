/** One multiplexed stream to the holder at one address. */
import type { ClientDuplexStream } from "@grpc/grpc-js";
import { HolderClient, type WorkRequest, type WorkResponse } from "./generated/holder.ts";
import { ConnectionMode, type PeerClientFactory } from "./peerClientFactory.ts";

/** What became of the requests of a stream that ended. */
export interface LostRequests {
    /** The stream had not been accepted yet, so the holder never saw them. */
    readonly unsent: readonly WorkRequest[];
    /** Sent and not answered. */
    readonly inFlight: readonly WorkRequest[];
    readonly reason: string;
}

export interface HolderConnectionOptions {
    readonly address: string;
    readonly clientFactory: PeerClientFactory;
    /** Longest time until the holder accepts the stream. */
    readonly openTimeoutMs: number;
    readonly onResponse: (request: WorkRequest, response: WorkResponse) => void;
    /** Called once; the stream is not used after it. */
    readonly onLost: (lost: LostRequests) => void;
}

export class HolderConnection {
    private readonly options: HolderConnectionOptions;
    private readonly client: HolderClient;
    private readonly stream: ClientDuplexStream<WorkRequest, WorkResponse>;
    private readonly openTimer: NodeJS.Timeout;
    /** Requests from before the holder accepted the stream: until then they are surely not run. */
    private outbox: WorkRequest[] = [];
    private readonly inFlight = new Map<string, WorkRequest>();
    private accepted = false;
    private lost = false;

    constructor(options: HolderConnectionOptions) {
        this.options = options;
        this.client = options.clientFactory.createClient(HolderClient, options.address, ConnectionMode.Dedicated);
        this.stream = this.client.work();
        this.stream.on("metadata", () => this.accept());
        this.stream.on("data", (response: WorkResponse) => this.receive(response));
        this.stream.on("error", error => this.end(error.message));
        this.stream.on("end", () => this.end("the holder ended the stream"));
        this.openTimer = setTimeout(
            () => this.end("the holder did not accept the stream in time"),
            options.openTimeoutMs,
        );
    }

    send(request: WorkRequest): void {
        if (!this.accepted) {
            this.outbox.push(request);
            return;
        }
        if (request.sessionEnd === undefined) {
            this.inFlight.set(request.requestId, request);
        }
        this.stream.write(request);
    }

    /** Ends the stream and reports what it leaves unanswered. */
    end(reason: string): void {
        if (this.lost) {
            return;
        }
        this.lost = true;
        clearTimeout(this.openTimer);
        this.stream.cancel();
        this.client.close();
        this.options.onLost({ unsent: this.outbox, inFlight: [...this.inFlight.values()], reason });
    }

    private accept(): void {
        clearTimeout(this.openTimer);
        if (!this.lost) {
            this.accepted = true;
            const waiting = this.outbox;
            this.outbox = [];
            waiting.forEach(request => this.send(request));
        }
    }

    // An answer whose request is unknown is late or doubled; it must not reach another request.
    private receive(response: WorkResponse): void {
        const request = this.inFlight.get(response.requestId);
        if (request !== undefined && !this.lost) {
            this.inFlight.delete(response.requestId);
            this.options.onResponse(request, response);
        }
    }
}
