/**
 * Server side of the Permits service: receives permit requests of other instances for the permit home of a workspace.
 */
import type { sendUnaryData, ServerUnaryCall } from "@grpc/grpc-js";
import {
    PermitKind,
    type PermitReply,
    type PermitRequest,
    type PermitRetireReply,
    type PermitRetireRequested,
} from "../model/permitMessages.ts";
import type { Message } from "../pipeline/message.ts";
import type { Sink } from "../pipeline/sink.ts";
import type {
    AcquireRequest,
    AcquireResponse,
    PermitAnswer,
    PermitsServer,
    RetireRequest,
    RetireResponse,
} from "./generated/permits.ts";
import { respond } from "./unaryResponse.ts";

export interface PermitServerOptions {
    readonly post: (message: Message) => void;
}

interface PendingAcquire {
    readonly expectedAnswers: number;
    readonly answers: PermitAnswer[];
    readonly callback: sendUnaryData<AcquireResponse>;
}

/**
 * Posts one message for each question of an `Acquire` call, which completes when all of its questions are answered, and
 * one for each `Retire` call, which asks a former permit home to stop granting permits.
 */
export class PermitServer implements Sink<PermitReply | PermitRetireReply> {
    readonly accepts = [PermitKind.Reply, PermitKind.RetireReply];
    /** Handlers for `server.addService(PermitsService, handlers)`. */
    readonly handlers: PermitsServer;
    private readonly options: PermitServerOptions;
    private readonly pendingAcquires = new Map<string, PendingAcquire>();
    private readonly pendingRetirements = new Map<string, sendUnaryData<RetireResponse>>();
    private nextCallNumber = 0;

    constructor(options: PermitServerOptions) {
        this.options = options;
        this.handlers = {
            acquire: (call, callback) => this.acquire(call, callback),
            retire: (call, callback) => this.retire(call, callback),
        };
    }

    deliver(reply: PermitReply | PermitRetireReply): void {
        if (reply.kind === PermitKind.RetireReply) {
            const callback = this.pendingRetirements.get(reply.origin);
            this.pendingRetirements.delete(reply.origin);
            if (callback !== undefined) {
                respond(callback, { known: reply.known, waitMs: reply.waitMs });
            }
            return;
        }
        const call = this.pendingAcquires.get(reply.origin);
        if (call === undefined) {
            return;
        }
        const { requestId, workspace, granted, retryAfterMs, answered } = reply;
        call.answers.push({ requestId, workspace, granted, retryAfterMs, answered });
        if (call.answers.length === call.expectedAnswers) {
            this.pendingAcquires.delete(reply.origin);
            respond(call.callback, { answers: call.answers });
        }
    }

    private acquire(
        call: ServerUnaryCall<AcquireRequest, AcquireResponse>,
        callback: sendUnaryData<AcquireResponse>,
    ): void {
        const { instanceId, questions } = call.request;
        if (questions.length === 0) {
            respond(callback, { answers: [] });
            return;
        }
        const origin = `permits-${this.nextCallNumber++}`;
        this.pendingAcquires.set(origin, { expectedAnswers: questions.length, answers: [], callback });
        call.on("cancelled", () => this.pendingAcquires.delete(origin));
        for (const question of questions) {
            const request: PermitRequest = { kind: PermitKind.Request, origin, instanceId, ...question };
            this.options.post(request);
        }
    }

    private retire(
        call: ServerUnaryCall<RetireRequest, RetireResponse>,
        callback: sendUnaryData<RetireResponse>,
    ): void {
        const origin = `retire-${this.nextCallNumber++}`;
        this.pendingRetirements.set(origin, callback);
        call.on("cancelled", () => this.pendingRetirements.delete(origin));
        const { resourceId, epoch } = call.request;
        const message: PermitRetireRequested = { kind: PermitKind.RetireRequested, origin, resourceId, epoch };
        this.options.post(message);
    }
}
