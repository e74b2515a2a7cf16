/** Client side of the Permits service: sends permit requests to the permit homes on other instances. */
import { connectivityState, Metadata, type ServiceError, status } from "@grpc/grpc-js";
import {
    type PermitForward,
    type PermitGranted,
    PermitKind,
    type PermitRetire,
    type PermitRetired,
    RetireOutcome,
} from "../model/permitMessages.ts";
import type { Message } from "../pipeline/message.ts";
import type { Sink } from "../pipeline/sink.ts";
import { type AcquireResponse, PermitsClient, type RetireResponse } from "./generated/permits.ts";
import { ConnectionMode, type PeerClientFactory } from "./peerClientFactory.ts";

/**
 * Time limit of a call to a former permit home, its connection included. Only ends calls that a home never answers: what
 * an answer tells stays true, and the request is repeated meanwhile.
 */
const retireTimeoutMs = 2_000;

/**
 * Time limit of a connection to a permit home, as for an unresponsive one (`peerChannel.ts`); requests wait for it apart
 * from the timeout of their call.
 */
const connectTimeoutMs = 3_000;

/**
 * Timeout of a call, counted from its connection. Only ends calls that a home never answers: admission counts the validity
 * of permits from its request, and asks again when it has passed.
 */
const callTimeoutMs = 1_000;

export interface PermitClientOptions {
    readonly post: (message: Message) => void;
    readonly clientFactory: PeerClientFactory;
    readonly instanceId: string;
}

/**
 * Sends the requests that one iteration of the event loop produces for the same permit home in one call. Requests wait
 * while the connection is established, and only the latest of a workspace is sent then. If the call fails, or another
 * request took its place, a request is answered with 0 permits and `answered: false`.
 */
export class PermitClient implements Sink<PermitForward | PermitRetire>, AsyncDisposable {
    readonly accepts = [PermitKind.Forward, PermitKind.Retire];
    private readonly options: PermitClientOptions;
    private readonly clients = new Map<string, PermitsClient>();
    /** Requests that are not sent yet, by address of the home and workspace. */
    private readonly batches = new Map<string, Map<string, PermitForward>>();

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
        const { homeAddress, workspace } = forward;
        const batch = this.batches.get(homeAddress);
        if (batch === undefined) {
            this.batches.set(homeAddress, new Map([[workspace, forward]]));
            setImmediate(() => this.sendWhenConnected(homeAddress));
            return;
        }
        const superseded = batch.get(workspace);
        batch.set(workspace, forward);
        if (superseded !== undefined) {
            this.publishFailure([superseded]);
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.batches.clear();
        this.clients.forEach(client => client.close());
        this.clients.clear();
    }

    /** A connection attempt that has failed is not waited for: the call then fails at once. */
    private sendWhenConnected(homeAddress: string, connectUntilMs: number = Date.now() + connectTimeoutMs): void {
        if (!this.batches.has(homeAddress)) {
            return;
        }
        const channel = this.getClient(homeAddress).getChannel();
        const state = channel.getConnectivityState(true);
        if (state !== connectivityState.IDLE && state !== connectivityState.CONNECTING) {
            this.sendBatch(homeAddress);
            return;
        }
        channel.watchConnectivityState(state, connectUntilMs, error => {
            if (error) {
                this.publishFailure(this.takeBatch(homeAddress));
            }
            else {
                this.sendWhenConnected(homeAddress, connectUntilMs);
            }
        });
    }

    private sendBatch(homeAddress: string): void {
        const questions = this.takeBatch(homeAddress);
        const { instanceId } = this.options;
        this.getClient(homeAddress).acquire(
            { instanceId, questions },
            new Metadata(),
            { deadline: Date.now() + callTimeoutMs },
            (error, response) => this.publishAnswers(questions, error ? undefined : response),
        );
    }

    private takeBatch(homeAddress: string): PermitForward[] {
        const questions = [...this.batches.get(homeAddress)?.values() ?? []];
        this.batches.delete(homeAddress);
        return questions;
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

    private publishFailure(questions: readonly PermitForward[]): void {
        this.publishAnswers(questions, undefined);
    }

    private publishAnswers(questions: readonly PermitForward[], response: AcquireResponse | undefined): void {
        const answers = new Map(response?.answers.map(answer => [answer.requestId, answer]));
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
