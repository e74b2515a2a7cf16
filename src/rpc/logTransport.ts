/** gRPC between control members: sink of outgoing messages and source of incoming ones. */
import {
    type handleUnaryCall,
    Metadata,
    type sendUnaryData,
    type Server,
    type ServerUnaryCall,
    type ServiceError,
    status,
} from "@grpc/grpc-js";
import { LogKind, type LogSend, type PeerMessage } from "../model/logMessages.ts";
import type { Message } from "../pipeline/message.ts";
import type { Sink } from "../pipeline/sink.ts";
import { LogClient, type LogServer, LogService } from "./generated/log.ts";
import {
    decodeAppendCall,
    decodeAppendResult,
    decodeJoinCall,
    decodeJoinResult,
    decodeSnapshotCall,
    decodeSnapshotResult,
    decodeVoteCall,
    decodeVoteResult,
    encodeAppendCall,
    encodeCallResult,
    encodeJoinCall,
    encodeSnapshotCall,
    encodeVoteCall,
} from "./logCodec.ts";
import { callerInstanceId } from "./peerAuthentication.ts";
import type { PeerClientFactory } from "./peerClientFactory.ts";
import { respond } from "./unaryResponse.ts";

/** Above the sync of a large snapshot; the leader repeats what is not answered. */
const callTimeoutMs = 2_000;

/** Incoming calls that wait for their answer, over all peers. */
const maximumPending = 256;

export interface LogTransportOptions {
    readonly clientFactory: PeerClientFactory;
    /** Posts incoming requests and answers to the event loop. */
    readonly post: (message: Message) => void;
}

/** Performs `log.send`. The instance id of the peer authentication must be the member id. */
export class LogTransport implements Sink<LogSend>, AsyncDisposable {
    readonly accepts = [LogKind.Send];
    /** Outgoing calls that failed. */
    failedCallCount = 0;
    private readonly options: LogTransportOptions;
    private readonly clients = new Map<string, LogClient>();
    private readonly pending = new Map<string, (answer: PeerMessage) => void>();
    private nextCall = 0;

    constructor(options: LogTransportOptions) {
        this.options = options;
    }

    /** Adds the Log service to a server made by `createPeerServer`. */
    register(server: Server): void {
        const service: LogServer = {
            vote: this.handler(decodeVoteCall),
            append: this.handler(decodeAppendCall),
            installSnapshot: this.handler(decodeSnapshotCall),
            join: this.handler(decodeJoinCall),
        };
        server.addService(LogService, service);
    }

    deliver({ body }: LogSend): void {
        switch (body.kind) {
            case LogKind.VoteRequest:
                return this.call(
                    body,
                    decodeVoteResult,
                    (client, done) => client.vote(encodeVoteCall(body), new Metadata(), deadline(), done),
                );
            case LogKind.AppendRequest:
                return this.call(
                    body,
                    decodeAppendResult,
                    (client, done) => client.append(encodeAppendCall(body), new Metadata(), deadline(), done),
                );
            case LogKind.SnapshotRequest:
                return this.call(
                    body,
                    decodeSnapshotResult,
                    (client, done) =>
                        client.installSnapshot(encodeSnapshotCall(body), new Metadata(), deadline(), done),
                );
            case LogKind.JoinRequest:
                return this.call(
                    body,
                    decodeJoinResult,
                    (client, done) => client.join(encodeJoinCall(body), new Metadata(), deadline(), done),
                );
            default:
                this.pending.get(body.callId)?.(body);
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.clients.forEach(client => client.close());
        this.clients.clear();
        this.pending.clear();
    }

    private call<Result>(
        request: PeerMessage,
        decode: (result: Result) => PeerMessage,
        start: (client: LogClient, done: (error: ServiceError | null, result: Result) => void) => void,
    ): void {
        start(this.clientOf(request.to.address), (error, result) => {
            if (error) {
                this.failedCallCount += 1;
                return;
            }
            try {
                this.options.post(decode(result));
            }
            catch {
                this.failedCallCount += 1;
            }
        });
    }

    private handler<Call, Result>(decode: (call: Call, callId: string) => PeerMessage): handleUnaryCall<Call, Result> {
        return (call, answer) => {
            const callId = `log${this.nextCall++}`;
            const fault = this.receive(call, callId, decode);
            if (fault !== undefined) {
                answer(fault);
                return;
            }
            this.await(call, callId, answer);
        };
    }

    private receive<Call, Result>(
        call: ServerUnaryCall<Call, Result>,
        callId: string,
        decode: (call: Call, callId: string) => PeerMessage,
    ): Partial<ServiceError> | undefined {
        if (this.pending.size >= maximumPending) {
            return { code: status.RESOURCE_EXHAUSTED, details: "too many calls wait for this member's disk" };
        }
        try {
            const message = decode(call.request, callId);
            if (message.from.memberId !== callerInstanceId(call.metadata)) {
                return { code: status.PERMISSION_DENIED, details: "the sender is not the authenticated instance" };
            }
            this.options.post(message);
            return undefined;
        }
        catch (error) {
            return { code: status.INVALID_ARGUMENT, details: String(error) };
        }
    }

    // A request that the pipe drops is never answered; its entry goes when the caller's deadline cancels the call.
    private await<Call, Result>(
        call: ServerUnaryCall<Call, Result>,
        callId: string,
        answer: sendUnaryData<Result>,
    ): void {
        call.once("cancelled", () => this.pending.delete(callId));
        this.pending.set(callId, message => {
            this.pending.delete(callId);
            respond(answer, encodeCallResult(message) as Result);
        });
    }

    private clientOf(address: string): LogClient {
        const known = this.clients.get(address);
        if (known !== undefined) {
            return known;
        }
        const client = this.options.clientFactory.createClient(LogClient, address);
        this.clients.set(address, client);
        return client;
    }
}

function deadline(): { readonly deadline: number; } {
    return { deadline: Date.now() + callTimeoutMs };
}
