/** Server side of the explanations: posts each question to the event loop and answers with its findings. */
import { type sendUnaryData, type Server, type ServerUnaryCall, status } from "@grpc/grpc-js";
import {
    type ExplanationAsked,
    type ExplanationEnded,
    ExplanationKind,
    type ExplanationRequest,
    type Finding,
} from "../model/explanation.ts";
import type { Message } from "../pipeline/message.ts";
import type { Sink } from "../pipeline/sink.ts";
import {
    type ExplainRequest,
    type ExplainResponse,
    type ExplanationsServer,
    ExplanationsService as Definition,
    type FindingMessage,
} from "./generated/explanations.ts";
import { respond } from "./unaryResponse.ts";

export interface ExplanationServiceOptions {
    readonly instanceId: string;
    readonly post: (message: Message) => void;
    /** Time after which a question without an answer fails; 5 s by default. */
    readonly answerLimitMs?: number;
}

/** Maximum of questions whose answers are pending; the event loop answers each within its next round. */
const maximumPending = 64;

const defaultAnswerLimitMs = 5_000;

interface PendingQuestion {
    readonly callback: sendUnaryData<ExplainResponse>;
    readonly timer: NodeJS.Timeout;
}

export class ExplanationService implements Sink<ExplanationEnded> {
    readonly accepts = [ExplanationKind.Ended];
    private readonly options: ExplanationServiceOptions;
    private readonly pending = new Map<string, PendingQuestion>();
    private nextRequestNumber = 0;

    constructor(options: ExplanationServiceOptions) {
        this.options = options;
    }

    /** Adds the service to a server that was created by `createPeerServer`. */
    register(server: Server): void {
        const implementation: ExplanationsServer = {
            explain: (call: ServerUnaryCall<ExplainRequest, ExplainResponse>, callback) =>
                this.explain(call.request, callback),
        };
        server.addService(Definition, implementation);
    }

    deliver({ requestId, findings }: ExplanationEnded): void {
        const callback = this.remove(requestId);
        if (callback !== undefined) {
            respond(callback, { instanceId: this.options.instanceId, findings: findings.map(encodeFinding) });
        }
    }

    /** Returns the callback of a question that has neither been answered nor failed. */
    private remove(requestId: string): sendUnaryData<ExplainResponse> | undefined {
        const question = this.pending.get(requestId);
        this.pending.delete(requestId);
        clearTimeout(question?.timer);
        return question?.callback;
    }

    private fail(requestId: string): void {
        this.remove(requestId)?.({ code: status.DEADLINE_EXCEEDED, details: "the instance has too much to do" });
    }

    private explain(request: ExplanationRequest, callback: sendUnaryData<ExplainResponse>): void {
        if (this.pending.size >= maximumPending) {
            callback({ code: status.RESOURCE_EXHAUSTED, details: `${maximumPending} questions wait; ask again` });
            return;
        }
        const { database, workspace, writes } = request;
        const requestId = `explain:${this.nextRequestNumber++}`;
        const { answerLimitMs = defaultAnswerLimitMs, post } = this.options;
        const timer = setTimeout(() => this.fail(requestId), answerLimitMs);
        // A question does not keep a process that ends.
        this.pending.set(requestId, { callback, timer: timer.unref() });
        const asked: ExplanationAsked = {
            kind: ExplanationKind.Asked,
            requestId,
            request: { database, workspace, writes },
            route: undefined,
            placement: undefined,
            findings: [],
        };
        post(asked);
    }
}

function encodeFinding({ step, subject, verdict, reason, facts }: Finding): FindingMessage {
    const texts = Object.entries(facts).map(([name, value]) => [name, String(value)]);
    return { step, subject, verdict, reason, facts: Object.fromEntries(texts) as Record<string, string> };
}
