/** Receives heartbeats and sends their answers. */
import { type sendUnaryData, type ServerUnaryCall, status } from "@grpc/grpc-js";
import { HealthKind, type HeartbeatReceived, type HeartbeatReply } from "../model/healthMessages.ts";
import type { Message } from "../pipeline/message.ts";
import type { Sink } from "../pipeline/sink.ts";
import {
    type HeartbeatRequest,
    type HeartbeatResponse,
    type HeartbeatServer,
    HeartbeatService,
} from "./generated/health.ts";
import { decodeHeartbeat, encodeAnswer, heartbeatFault } from "./heartbeatCodec.ts";
import { noError } from "./noError.ts";
import type { PeerCredentials } from "./peerCredentials.ts";

export interface HeartbeatSourceOptions {
    readonly credentials: PeerCredentials;
    post(message: Message): void;
}

/** Source of `health.heartbeat_received` and sink of `health.heartbeat_reply`. */
export class HeartbeatSource implements Sink<HeartbeatReply> {
    readonly service = HeartbeatService;
    readonly implementation: HeartbeatServer = { beat: (call, done) => this.beat(call, done) };
    readonly accepts = [HealthKind.HeartbeatReply] as const;
    private readonly options: HeartbeatSourceOptions;
    private readonly calls = new Map<string, sendUnaryData<HeartbeatResponse>>();
    private nextCall = 1;

    constructor(options: HeartbeatSourceOptions) {
        this.options = options;
    }

    deliver({ callId, answer }: HeartbeatReply): void {
        this.calls.get(callId)?.(noError, encodeAnswer(answer));
        this.calls.delete(callId);
    }

    private beat(
        call: ServerUnaryCall<HeartbeatRequest, HeartbeatResponse>,
        done: sendUnaryData<HeartbeatResponse>,
    ): void {
        const refusal = this.options.credentials.check(call.metadata, HeartbeatService.beat.path);
        if (refusal !== undefined) {
            done({ code: status.UNAUTHENTICATED, details: refusal });
            return;
        }
        const fault = heartbeatFault(call.request);
        if (fault !== undefined) {
            done({ code: status.INVALID_ARGUMENT, details: fault });
            return;
        }
        const callId = String(this.nextCall++);
        this.calls.set(callId, done);
        call.on("cancelled", () => this.calls.delete(callId));
        const message: HeartbeatReceived = {
            kind: HealthKind.HeartbeatReceived,
            callId,
            heartbeat: decodeHeartbeat(call.request),
        };
        this.options.post(message);
    }
}
