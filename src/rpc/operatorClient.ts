/** Calls the operators' service, following the control leader. */
import { Metadata, type requestCallback, type ServiceError, status } from "@grpc/grpc-js";
import { BaseError } from "../model/baseError.ts";
import { ProposalStatus } from "../model/controlMessages.ts";
import {
    type BurnResponse,
    type ChangePrimaryResponse,
    type ChangeResponse,
    OperatorClient as Client,
    type ShowResponse,
    type StatusResponse,
} from "./generated/operator.ts";
import { encodeChange, type OperatorCommand } from "./operatorCommandCodec.ts";
import type { PeerClientFactory } from "./peerClientFactory.ts";

export interface OperatorClientOptions {
    /** `host:port` of instances, tried in order. */
    readonly servers: readonly string[];
    readonly clientFactory: PeerClientFactory;
    /** Limit of a whole operation, all attempts together. */
    readonly timeoutMs: number;
}

/** No server answered. The message names each server and why. */
export const UnreachableError = BaseError.subclass("UnreachableError", { props: { step: "call" } });

/** A server refused the call for good: wrong secret, other cluster, malformed request. */
export const RefusedError = BaseError.subclass("RefusedError", { props: { step: "call" } });

type Call<Response> = (
    client: Client,
    deadline: Date,
    done: requestCallback<Response>,
) => void;

const retryPauseMs = 200;
const attemptLimitMs = 12_000;
const finalCodes: readonly status[] = [
    status.UNAUTHENTICATED,
    status.PERMISSION_DENIED,
    status.FAILED_PRECONDITION,
    status.INVALID_ARGUMENT,
    status.UNIMPLEMENTED,
];

export class OperatorClient implements AsyncDisposable {
    private readonly options: OperatorClientOptions;
    private readonly clients = new Map<string, Client>();

    constructor(options: OperatorClientOptions) {
        this.options = options;
    }

    /**
     * Makes a change. Resent with the same operation id until a leader has answered, which is harmless.
     * @throws UnreachableError when no leader answered in time: the outcome is then unknown
     */
    async change(operationId: string, command: OperatorCommand): Promise<ChangeResponse> {
        const request = encodeChange(operationId, command);
        return this.untilAnswered(
            (client, deadline, done) => client.change(request, new Metadata(), { deadline }, done),
            response => response.status === ProposalStatus.NotLeader || response.status === ProposalStatus.Unknown,
            response => response.leaderAddress,
        );
    }

    async show(): Promise<ShowResponse> {
        return this.untilAnswered((client, deadline, done) => client.show({}, new Metadata(), { deadline }, done));
    }

    async status(): Promise<StatusResponse> {
        return this.untilAnswered((client, deadline, done) => client.status({}, new Metadata(), { deadline }, done));
    }

    async drain(): Promise<void> {
        await this.untilAnswered((client, deadline, done) => client.drain({}, new Metadata(), { deadline }, done));
    }

    /** Starts a planned change of primary on the control leader. */
    async changePrimary(groupId: string): Promise<ChangePrimaryResponse> {
        const { instance } = await this.status();
        const leader = instance?.leaderAddress ?? "";
        const servers = leader === "" ? this.options.servers : [leader];
        return this.untilAnswered(
            (client, deadline, done) => client.changePrimary({ groupId }, new Metadata(), { deadline }, done),
            () => false,
            () => "",
            servers,
        );
    }

    /** Burn snapshot of one instance. */
    async burn(server?: string): Promise<BurnResponse> {
        return this.untilAnswered(
            (client, deadline, done) => client.burn({}, new Metadata(), { deadline }, done),
            () => false,
            () => "",
            server === undefined ? this.options.servers : [server],
        );
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.clients.forEach(client => client.close());
        this.clients.clear();
    }

    private async untilAnswered<Response>(
        call: Call<Response>,
        isUndecided: (response: Response) => boolean = () => false,
        leaderOf: (response: Response) => string = () => "",
        servers: readonly string[] = this.options.servers,
    ): Promise<Response> {
        const endMs = Date.now() + this.options.timeoutMs;
        const reasons = new Map<string, string>();
        let next = 0;
        let hint = "";
        while (Date.now() < endMs) {
            const server = hint === "" ? servers[next++ % servers.length]! : hint;
            hint = "";
            try {
                const response = await this.attempt(server, call, endMs);
                if (!isUndecided(response)) {
                    return response;
                }
                hint = leaderOf(response) === server ? "" : leaderOf(response);
                reasons.set(server, hint === "" ? "knows no control leader" : `names ${hint} as the leader`);
            }
            catch (error) {
                reasons.set(server, describeFailure(server, error as ServiceError));
            }
            await new Promise(resolve => setTimeout(resolve, retryPauseMs));
        }
        const list = [...reasons].map(([server, reason]) => `${server}: ${reason}`).join("; ");
        throw new UnreachableError(`no usable answer within ${this.options.timeoutMs} ms (${list})`);
    }

    private attempt<Response>(server: string, call: Call<Response>, endMs: number): Promise<Response> {
        const deadline = new Date(Math.min(endMs, Date.now() + attemptLimitMs));
        return new Promise((resolve, reject) =>
            call(this.client(server), deadline, (error, response) => {
                if (response === undefined) {
                    reject(error);
                }
                else {
                    resolve(response);
                }
            })
        );
    }

    private client(server: string): Client {
        let client = this.clients.get(server);
        if (client === undefined) {
            client = this.options.clientFactory.createClient(Client, server);
            this.clients.set(server, client);
        }
        return client;
    }
}

function describeFailure(server: string, error: ServiceError): string {
    if (finalCodes.includes(error.code)) {
        throw new RefusedError(`${server} refused the call: ${error.details}`, { props: { peer: server } });
    }
    return error.details ?? error.message;
}
