/** Client side of the heartbeat service: sends heartbeats to control members. */
import { Metadata } from "@grpc/grpc-js";
import { HealthKind, type HeartbeatAnswered, type HeartbeatSend } from "../model/healthMessages.ts";
import type { Message } from "../pipeline/message.ts";
import type { Sink } from "../pipeline/sink.ts";
import { HeartbeatClient } from "./generated/health.ts";
import { decodeHeartbeatAnswer, encodeHeartbeat } from "./heartbeatCodec.ts";
import { ConnectionMode, type PeerClientFactory } from "./peerClientFactory.ts";

export interface HeartbeatRpcClientOptions {
    readonly clientFactory: PeerClientFactory;
    post(message: Message): void;
}

/**
 * Handles `health.heartbeat_send` and posts one `health.heartbeat_answered` for each heartbeat. Uses one channel for
 * each of the up to 7 control members. The channel of a failed call is closed, because an open connection may stay
 * unresponsive indefinitely.
 */
export class HeartbeatRpcClient implements Sink<HeartbeatSend>, AsyncDisposable {
    readonly accepts = [HealthKind.HeartbeatSend] as const;
    private readonly options: HeartbeatRpcClientOptions;
    private readonly clients = new Map<string, HeartbeatClient>();

    constructor(options: HeartbeatRpcClientOptions) {
        this.options = options;
    }

    deliver({ heartbeatId, peerAddress, timeoutMs, heartbeat }: HeartbeatSend): void {
        const client = this.getClient(peerAddress);
        // gRPC deadlines are wall-clock times; a clock step makes at most one heartbeat fail.
        const deadline = Date.now() + timeoutMs;
        client.beat(encodeHeartbeat(heartbeat), new Metadata(), { deadline }, (error, response) => {
            const answer = error ? undefined : decodeHeartbeatAnswer(response);
            if (error) {
                this.closeClient(peerAddress, client);
            }
            const message: HeartbeatAnswered = { kind: HealthKind.HeartbeatAnswered, heartbeatId, peerAddress, answer };
            this.options.post(message);
        });
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.clients.forEach(client => client.close());
        this.clients.clear();
    }

    private getClient(address: string): HeartbeatClient {
        let client = this.clients.get(address);
        if (client === undefined) {
            // With shared connections, a new channel would reuse the unresponsive connection of the closed channel.
            client = this.options.clientFactory.createClient(HeartbeatClient, address, ConnectionMode.Dedicated);
            this.clients.set(address, client);
        }
        return client;
    }

    private closeClient(address: string, client: HeartbeatClient): void {
        if (this.clients.get(address) === client) {
            this.clients.delete(address);
        }
        client.close();
    }
}
