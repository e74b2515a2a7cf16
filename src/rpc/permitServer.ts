/** Takes questions for permits from other instances and returns the answers of the permit home. */
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

interface OpenCall {
    readonly expected: number;
    readonly answers: PermitAnswer[];
    readonly finish: sendUnaryData<AcquireResponse>;
}

/** Source and sink of the calls to permit homes; a call ends when all its questions are answered. */
export class PermitServer implements Sink<PermitReply | PermitRetireReply> {
    readonly accepts = [PermitKind.Reply, PermitKind.RetireReply];
    /** For `server.addService(PermitsService, handlers)`. */
    readonly handlers: PermitsServer;
    private readonly options: PermitServerOptions;
    private readonly calls = new Map<string, OpenCall>();
    private readonly retirements = new Map<string, sendUnaryData<RetireResponse>>();
    private nextCall = 0;

    constructor(options: PermitServerOptions) {
        this.options = options;
        this.handlers = {
            acquire: (call, finish) => this.acquire(call, finish),
            retire: (call, finish) => this.retire(call, finish),
        };
    }

    deliver(reply: PermitReply | PermitRetireReply): void {
        if (reply.kind === PermitKind.RetireReply) {
            const finish = this.retirements.get(reply.origin);
            this.retirements.delete(reply.origin);
            if (finish !== undefined) {
                respond(finish, { known: reply.known, waitMs: reply.waitMs });
            }
            return;
        }
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

    private retire(
        call: ServerUnaryCall<RetireRequest, RetireResponse>,
        finish: sendUnaryData<RetireResponse>,
    ): void {
        const origin = `retire-${this.nextCall++}`;
        this.retirements.set(origin, finish);
        call.on("cancelled", () => this.retirements.delete(origin));
        const { resourceId, epoch } = call.request;
        const asked: PermitRetireRequested = { kind: PermitKind.RetireRequested, origin, resourceId, epoch };
        this.options.post(asked);
    }
}
