/** Sends heartbeats to control members. */
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
 * Sink of `health.heartbeat_send`; posts one `health.heartbeat_answered` per heartbeat. Keeps one channel per control
 * member, at most 7. A channel that failed to answer is closed, because an open connection may be silent for good.
 */
export class HeartbeatRpcClient implements Sink<HeartbeatSend>, AsyncDisposable {
    readonly accepts = [HealthKind.HeartbeatSend] as const;
    private readonly options: HeartbeatRpcClientOptions;
    private readonly clients = new Map<string, HeartbeatClient>();

    constructor(options: HeartbeatRpcClientOptions) {
        this.options = options;
    }

    deliver({ heartbeatId, peerAddress, timeoutMs, heartbeat }: HeartbeatSend): void {
        const client = this.client(peerAddress);
        // The deadline of a gRPC call is a wall-clock time; a clock step at worst fails one heartbeat.
        const deadline = Date.now() + timeoutMs;
        client.beat(encodeHeartbeat(heartbeat), new Metadata(), { deadline }, (error, response) => {
            const answer = error ? undefined : decodeHeartbeatAnswer(response);
            if (error) {
                this.drop(peerAddress, client);
            }
            const message: HeartbeatAnswered = { kind: HealthKind.HeartbeatAnswered, heartbeatId, peerAddress, answer };
            this.options.post(message);
        });
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.clients.forEach(client => client.close());
        this.clients.clear();
    }

    private client(address: string): HeartbeatClient {
        let client = this.clients.get(address);
        if (client === undefined) {
            // On a shared connection a new channel would reuse the silent connection of the closed one.
            client = this.options.clientFactory.createClient(HeartbeatClient, address, ConnectionMode.Dedicated);
            this.clients.set(address, client);
        }
        return client;
    }

    private drop(address: string, client: HeartbeatClient): void {
        if (this.clients.get(address) === client) {
            this.clients.delete(address);
        }
        client.close();
    }
}
