/** Carries questions for permits to permit homes on other instances. */
import { Metadata, type ServiceError } from "@grpc/grpc-js";
import { type PermitForward, type PermitGranted, PermitKind, permitValidityMs } from "../model/permitMessages.ts";
import type { Message } from "../pipeline/message.ts";
import type { Sink } from "../pipeline/sink.ts";
import { type AcquireResponse, PermitsClient } from "./generated/permits.ts";
import type { PeerNetwork } from "./peerNetwork.ts";

export interface PermitClientOptions {
    readonly post: (message: Message) => void;
    readonly network: PeerNetwork;
    readonly instanceId: string;
}

/** Batches the questions of one turn of the event loop per home. A call that fails answers each of its questions. */
export class PermitClient implements Sink<PermitForward>, AsyncDisposable {
    readonly accepts = [PermitKind.Forward];
    private readonly options: PermitClientOptions;
    private readonly clients = new Map<string, PermitsClient>();
    private readonly batches = new Map<string, PermitForward[]>();

    constructor(options: PermitClientOptions) {
        this.options = options;
    }

    deliver(forward: PermitForward): void {
        const batch = this.batches.get(forward.homeAddress);
        if (batch !== undefined) {
            batch.push(forward);
            return;
        }
        this.batches.set(forward.homeAddress, [forward]);
        setImmediate(() => this.send(forward.homeAddress));
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.batches.clear();
        this.clients.forEach(client => client.close());
        this.clients.clear();
    }

    private send(homeAddress: string): void {
        const questions = this.batches.get(homeAddress);
        if (questions === undefined) {
            return;
        }
        this.batches.delete(homeAddress);
        const { instanceId } = this.options;
        this.clientOf(homeAddress).acquire(
            { instanceId, questions },
            new Metadata(),
            // A later answer brings no usable permit.
            { deadline: Date.now() + permitValidityMs },
            (error, response) => this.receive(questions, error, response),
        );
    }

    private receive(
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

    private clientOf(address: string): PermitsClient {
        let client = this.clients.get(address);
        if (client === undefined) {
            client = this.options.network.createClient(PermitsClient, address);
            this.clients.set(address, client);
        }
        return client;
    }
}
