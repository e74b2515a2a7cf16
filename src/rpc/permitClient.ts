/** Client side of the Permits service: sends permit requests to the permit homes on other instances. */
import { Metadata, type ServiceError, status } from "@grpc/grpc-js";
import {
    type PermitForward,
    type PermitGranted,
    PermitKind,
    type PermitRetire,
    type PermitRetired,
    permitValidityMs,
    RetireOutcome,
} from "../model/permitMessages.ts";
import type { Message } from "../pipeline/message.ts";
import type { Sink } from "../pipeline/sink.ts";
import { type AcquireResponse, PermitsClient, type RetireResponse } from "./generated/permits.ts";
import { ConnectionMode, type PeerClientFactory } from "./peerClientFactory.ts";

/** Timeout of a call to a former permit home; several times the round trip time between regions (24 ms). */
const retireTimeoutMs = 400;

export interface PermitClientOptions {
    readonly post: (message: Message) => void;
    readonly clientFactory: PeerClientFactory;
    readonly instanceId: string;
}

/**
 * Sends the requests that one iteration of the event loop produces for the same permit home in one call. If the call
 * fails, each of its requests is answered with 0 permits and `answered: false`.
 */
export class PermitClient implements Sink<PermitForward | PermitRetire>, AsyncDisposable {
    readonly accepts = [PermitKind.Forward, PermitKind.Retire];
    private readonly options: PermitClientOptions;
    private readonly clients = new Map<string, PermitsClient>();
    private readonly batches = new Map<string, PermitForward[]>();

    constructor(options: PermitClientOptions) {
        this.options = options;
    }

    deliver(message: PermitForward | PermitRetire): void {
        if (message.kind === PermitKind.Retire) {
            this.retire(message);
        }
        else {
            this.forward(message);
        }
    }

    private forward(forward: PermitForward): void {
        const batch = this.batches.get(forward.homeAddress);
        if (batch !== undefined) {
            batch.push(forward);
            return;
        }
        this.batches.set(forward.homeAddress, [forward]);
        setImmediate(() => this.sendBatch(forward.homeAddress));
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.batches.clear();
        this.clients.forEach(client => client.close());
        this.clients.clear();
    }

    private sendBatch(homeAddress: string): void {
        const questions = this.batches.get(homeAddress);
        if (questions === undefined) {
            return;
        }
        this.batches.delete(homeAddress);
        const { instanceId } = this.options;
        this.getClient(homeAddress).acquire(
            { instanceId, questions },
            new Metadata(),
            // The permits in a later answer would already have expired.
            { deadline: Date.now() + permitValidityMs },
            (error, response) => this.publishAnswers(questions, error, response),
        );
    }

    /** Uses a new connection: a shared one could report a connection failure that happened some time ago. */
    private retire({ homeAddress, resourceId, epoch }: PermitRetire): void {
        const client = this.options.clientFactory.createClient(PermitsClient, homeAddress, ConnectionMode.Dedicated);
        client.retire(
            { resourceId, epoch },
            new Metadata(),
            { deadline: Date.now() + retireTimeoutMs },
            (error, response) => {
                client.close();
                const retired: PermitRetired = {
                    kind: PermitKind.Retired,
                    resourceId,
                    epoch,
                    outcome: classifyRetireOutcome(error ?? undefined, response),
                    waitMs: response?.waitMs ?? 0,
                };
                this.options.post(retired);
            },
        );
    }

    private publishAnswers(
        questions: readonly PermitForward[],
        error: ServiceError | null,
        response: AcquireResponse | undefined,
    ): void {
        const answers = new Map(error ? [] : response?.answers.map(answer => [answer.requestId, answer]));
        for (const { requestId, workspace } of questions) {
            const answer = answers.get(requestId) ?? { granted: 0, retryAfterMs: 0, answered: false };
            const { granted, retryAfterMs, answered } = answer;
            const message: PermitGranted = {
                kind: PermitKind.Granted,
                requestId,
                workspace,
                granted,
                retryAfterMs,
                answered,
            };
            this.options.post(message);
        }
    }

    private getClient(address: string): PermitsClient {
        let client = this.clients.get(address);
        if (client === undefined) {
            client = this.options.clientFactory.createClient(PermitsClient, address);
            this.clients.set(address, client);
        }
        return client;
    }
}

/** A refused connection proves that the process has ended; other failures leave the state of the process unknown. */
function classifyRetireOutcome(error: ServiceError | undefined, response: RetireResponse | undefined): RetireOutcome {
    if (error === undefined) {
        return response?.known === true ? RetireOutcome.Ended : RetireOutcome.Gone;
    }
    return error.code === status.UNAVAILABLE && error.details.includes("ECONNREFUSED")
        ? RetireOutcome.Gone
        : RetireOutcome.Unresponsive;
}
