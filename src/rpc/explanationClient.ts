/** Client of the explanations of one instance. */
import { Metadata, type ServiceError } from "@grpc/grpc-js";
import type { ExplanationRequest } from "../model/explanation.ts";
import { type ExplainResponse, ExplanationsClient } from "./generated/explanations.ts";
import { UnreachableError } from "./operatorClient.ts";
import type { PeerClientFactory } from "./peerClientFactory.ts";

export interface ExplanationClientOptions {
    /** `host:port` of the instance. Another one would decide by what it knows itself. */
    readonly server: string;
    readonly clientFactory: PeerClientFactory;
    readonly timeoutMs: number;
}

export class ExplanationClient implements AsyncDisposable {
    private readonly options: ExplanationClientOptions;
    private readonly client: ExplanationsClient;

    constructor(options: ExplanationClientOptions) {
        this.options = options;
        this.client = options.clientFactory.createClient(ExplanationsClient, options.server);
    }

    /** @throws UnreachableError with the reason, if the instance did not answer in time or does not explain */
    explain(request: ExplanationRequest): Promise<ExplainResponse> {
        const { server, timeoutMs } = this.options;
        const deadline = new Date(Date.now() + timeoutMs);
        return new Promise((resolve, reject) =>
            this.client.explain(request, new Metadata(), { deadline }, (error: ServiceError | null, response) => {
                if (response === undefined) {
                    reject(new UnreachableError(`${server}: ${error?.details ?? "no answer"}`));
                }
                else {
                    resolve(response);
                }
            })
        );
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.client.close();
    }
}
