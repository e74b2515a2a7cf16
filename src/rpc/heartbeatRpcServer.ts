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
import { decodeHeartbeat, encodeHeartbeatAnswer, validateHeartbeat } from "./heartbeatCodec.ts";
import { respond } from "./unaryResponse.ts";

export interface HeartbeatRpcServerOptions {
    post(message: Message): void;
}

/** Source of `health.heartbeat_received` and sink of `health.heartbeat_reply`. */
export class HeartbeatRpcServer implements Sink<HeartbeatReply> {
    readonly service = HeartbeatService;
    readonly implementation: HeartbeatServer = { beat: (call, done) => this.beat(call, done) };
    readonly accepts = [HealthKind.HeartbeatReply] as const;
    private readonly options: HeartbeatRpcServerOptions;
    private readonly calls = new Map<string, sendUnaryData<HeartbeatResponse>>();
    private nextCall = 1;

    constructor(options: HeartbeatRpcServerOptions) {
        this.options = options;
    }

    deliver({ callId, answer }: HeartbeatReply): void {
        const done = this.calls.get(callId);
        if (done !== undefined) {
            this.calls.delete(callId);
            respond(done, encodeHeartbeatAnswer(answer));
        }
    }

    private beat(
        call: ServerUnaryCall<HeartbeatRequest, HeartbeatResponse>,
        done: sendUnaryData<HeartbeatResponse>,
    ): void {
        const fault = validateHeartbeat(call.request);
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
