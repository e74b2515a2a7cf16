/** Server side of the heartbeat service: receives heartbeats and returns their answers. */
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
import { decodeHeartbeat, encodeHeartbeatAnswer, validateHeartbeat } from "./heartbeatCodec.ts";
import { respond } from "./unaryResponse.ts";

export interface HeartbeatRpcServerOptions {
    post(message: Message): void;
}

/** Posts `health.heartbeat_received` for each valid heartbeat; `health.heartbeat_reply` completes the call. */
export class HeartbeatRpcServer implements Sink<HeartbeatReply> {
    readonly service = HeartbeatService;
    readonly implementation: HeartbeatServer = { beat: (call, callback) => this.beat(call, callback) };
    readonly accepts = [HealthKind.HeartbeatReply] as const;
    private readonly options: HeartbeatRpcServerOptions;
    private readonly pendingCalls = new Map<string, sendUnaryData<HeartbeatResponse>>();
    private nextCallNumber = 1;

    constructor(options: HeartbeatRpcServerOptions) {
        this.options = options;
    }

    deliver({ callId, answer }: HeartbeatReply): void {
        const callback = this.pendingCalls.get(callId);
        if (callback !== undefined) {
            this.pendingCalls.delete(callId);
            respond(callback, encodeHeartbeatAnswer(answer));
        }
    }

    private beat(
        call: ServerUnaryCall<HeartbeatRequest, HeartbeatResponse>,
        callback: sendUnaryData<HeartbeatResponse>,
    ): void {
        const fault = validateHeartbeat(call.request);
        if (fault !== undefined) {
            callback({ code: status.INVALID_ARGUMENT, details: fault });
            return;
        }
        const callId = String(this.nextCallNumber++);
        this.pendingCalls.set(callId, callback);
        call.on("cancelled", () => this.pendingCalls.delete(callId));
        const message: HeartbeatReceived = {
            kind: HealthKind.HeartbeatReceived,
            callId,
            heartbeat: decodeHeartbeat(call.request),
        };
        this.options.post(message);
    }
}
