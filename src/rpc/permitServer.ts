/** Takes questions for permits from other instances and returns the answers of the permit home. */
import type { sendUnaryData, ServerUnaryCall } from "@grpc/grpc-js";
import { PermitKind, type PermitReply, type PermitRequest } from "../model/permitMessages.ts";
import type { Message } from "../pipeline/message.ts";
import type { Sink } from "../pipeline/sink.ts";
import type { AcquireRequest, AcquireResponse, PermitAnswer, PermitsServer } from "./generated/permits.ts";
import { respond } from "./unaryResponse.ts";

export interface PermitServerOptions {
    readonly post: (message: Message) => void;
}

interface OpenCall {
    readonly expected: number;
    readonly answers: PermitAnswer[];
    readonly finish: sendUnaryData<AcquireResponse>;
}

/** Source of `permit.request` and sink of `permit.reply`; a call ends when all its questions are answered. */
export class PermitServer implements Sink<PermitReply> {
    readonly accepts = [PermitKind.Reply];
    /** For `server.addService(PermitsService, handlers)`. */
    readonly handlers: PermitsServer;
    private readonly options: PermitServerOptions;
    private readonly calls = new Map<string, OpenCall>();
    private nextCall = 0;

    constructor(options: PermitServerOptions) {
        this.options = options;
        this.handlers = { acquire: (call, finish) => this.acquire(call, finish) };
    }

    deliver(reply: PermitReply): void {
        const call = this.calls.get(reply.origin);
        if (call === undefined) {
            return;
        }
        const { requestId, workspace, granted, retryAfterMs, answered } = reply;
        call.answers.push({ requestId, workspace, granted, retryAfterMs, answered });
        if (call.answers.length === call.expected) {
            this.calls.delete(reply.origin);
            respond(call.finish, { answers: call.answers });
        }
    }

    private acquire(
        call: ServerUnaryCall<AcquireRequest, AcquireResponse>,
        finish: sendUnaryData<AcquireResponse>,
    ): void {
        const { instanceId, questions } = call.request;
        if (questions.length === 0) {
            respond(finish, { answers: [] });
            return;
        }
        const origin = `permits-${this.nextCall++}`;
        this.calls.set(origin, { expected: questions.length, answers: [], finish });
        call.on("cancelled", () => this.calls.delete(origin));
        for (const question of questions) {
            const request: PermitRequest = { kind: PermitKind.Request, origin, instanceId, ...question };
            this.options.post(request);
        }
    }
}
