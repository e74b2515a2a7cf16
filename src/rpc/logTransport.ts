/** Transport of the replicated log: gRPC calls between control members, in both directions. */
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
    decodeStandCall,
    decodeStandResult,
    decodeVoteCall,
    decodeVoteResult,
    encodeAppendCall,
    encodeCallResult,
    encodeJoinCall,
    encodeSnapshotCall,
    encodeStandCall,
    encodeVoteCall,
} from "./logCodec.ts";
import { callerInstanceId } from "./peerAuthentication.ts";
import type { PeerClientFactory } from "./peerClientFactory.ts";
import { respond } from "./unaryResponse.ts";

/** Longer than the fsync of a large snapshot. The leader repeats requests that are not answered. */
const callTimeoutMs = 2_000;

/** Incoming calls of all peers that wait for their answer. */
const maximumPendingCalls = 256;

export interface LogTransportOptions {
    readonly clientFactory: PeerClientFactory;
    /** Receives the requests and answers of other members. */
    readonly post: (message: Message) => void;
}

/** Handles `log.send`. The instance id in the peer authentication must be the member id of the sender. */
export class LogTransport implements Sink<LogSend>, AsyncDisposable {
    readonly accepts = [LogKind.Send];
    /** Number of outgoing calls that failed. */
    failedCallCount = 0;
    private readonly options: LogTransportOptions;
    private readonly clients = new Map<string, LogClient>();
    private readonly pendingCalls = new Map<string, (answer: PeerMessage) => void>();
    private nextCallNumber = 0;

    constructor(options: LogTransportOptions) {
        this.options = options;
    }

    /** Adds the Log service to a server that was created by `createPeerServer`. */
    register(server: Server): void {
        const service: LogServer = {
            vote: this.createHandler(decodeVoteCall),
            append: this.createHandler(decodeAppendCall),
            installSnapshot: this.createHandler(decodeSnapshotCall),
            join: this.createHandler(decodeJoinCall),
            stand: this.createHandler(decodeStandCall),
        };
        server.addService(LogService, service);
    }

    deliver({ body }: LogSend): void {
        switch (body.kind) {
            case LogKind.VoteRequest:
                return this.sendRequest(
                    body,
                    decodeVoteResult,
                    (client, done) => client.vote(encodeVoteCall(body), callMetadata(), callOptions(), done),
                );
            case LogKind.AppendRequest:
                return this.sendRequest(
                    body,
                    decodeAppendResult,
                    (client, done) => client.append(encodeAppendCall(body), callMetadata(), callOptions(), done),
                );
            case LogKind.SnapshotRequest:
                return this.sendRequest(
                    body,
                    decodeSnapshotResult,
                    (client, done) =>
                        client.installSnapshot(encodeSnapshotCall(body), callMetadata(), callOptions(), done),
                );
            case LogKind.JoinRequest:
                return this.sendRequest(
                    body,
                    decodeJoinResult,
                    (client, done) => client.join(encodeJoinCall(body), callMetadata(), callOptions(), done),
                );
            case LogKind.StandRequest:
                return this.sendRequest(
                    body,
                    decodeStandResult,
                    (client, done) => client.stand(encodeStandCall(body), callMetadata(), callOptions(), done),
                );
            default:
                this.pendingCalls.get(body.callId)?.(body);
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.clients.forEach(client => client.close());
        this.clients.clear();
        this.pendingCalls.clear();
    }

    private sendRequest<Result>(
        request: PeerMessage,
        decode: (result: Result) => PeerMessage,
        startCall: (client: LogClient, done: (error: ServiceError | null, result: Result) => void) => void,
    ): void {
        startCall(this.getClient(request.to.address), (error, result) => {
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

    private createHandler<Call, Result>(
        decode: (call: Call, callId: string) => PeerMessage,
    ): handleUnaryCall<Call, Result> {
        return (call, callback) => {
            const callId = `log${this.nextCallNumber++}`;
            const fault = this.receiveRequest(call, callId, decode);
            if (fault !== undefined) {
                callback(fault);
                return;
            }
            this.registerPendingCall(call, callId, callback);
        };
    }

    private receiveRequest<Call, Result>(
        call: ServerUnaryCall<Call, Result>,
        callId: string,
        decode: (call: Call, callId: string) => PeerMessage,
    ): Partial<ServiceError> | undefined {
        if (this.pendingCalls.size >= maximumPendingCalls) {
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

    // A request that the pipe discards is never answered; its entry is removed when the caller's deadline cancels the
    // call.
    private registerPendingCall<Call, Result>(
        call: ServerUnaryCall<Call, Result>,
        callId: string,
        callback: sendUnaryData<Result>,
    ): void {
        call.once("cancelled", () => this.pendingCalls.delete(callId));
        this.pendingCalls.set(callId, message => {
            this.pendingCalls.delete(callId);
            respond(callback, encodeCallResult(message) as Result);
        });
    }

    private getClient(address: string): LogClient {
        const existing = this.clients.get(address);
        if (existing !== undefined) {
            return existing;
        }
        const client = this.options.clientFactory.createClient(LogClient, address);
        this.clients.set(address, client);
        return client;
    }
}

/**
 * A call waits for the connection. If it failed at once while the connection is retried, the next request would follow
 * only with the next heartbeat, a quarter of a second later; members that start together would miss the first ones.
 */
function callMetadata(): Metadata {
    return new Metadata({ waitForReady: true });
}

function callOptions(): { readonly deadline: number; } {
    return { deadline: Date.now() + callTimeoutMs };
}
