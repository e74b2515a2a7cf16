/** Client of the operator service; sends changes to the control leader. */
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
    /** `host:port` of instances, which are tried in order. */
    readonly servers: readonly string[];
    readonly clientFactory: PeerClientFactory;
    /** Timeout of an operation, including all of its attempts. */
    readonly timeoutMs: number;
}

/** No server returned a conclusive answer in time. The message contains the last failure of each server. */
export const UnreachableError = BaseError.subclass("UnreachableError", { props: { step: "call" } });

/** A server refused the call, and a retry cannot succeed: wrong secret, other cluster, invalid request. */
export const RefusedError = BaseError.subclass("RefusedError", { props: { step: "call" } });

type UnaryCall<Response> = (
    client: Client,
    deadline: Date,
    done: requestCallback<Response>,
) => void;

const retryIntervalMs = 200;
const attemptTimeoutMs = 12_000;
const nonRetryableCodes: readonly status[] = [
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
     * Makes a change. The request is repeated until a leader answers; because the operation id stays the same, the
     * change is applied only once.
     * @throws UnreachableError if no leader answered in time; it is then unknown whether the change was applied
     */
    async change(operationId: string, command: OperatorCommand): Promise<ChangeResponse> {
        const request = encodeChange(operationId, command);
        return this.callUntilAnswered(
            (client, deadline, done) => client.change(request, new Metadata(), { deadline }, done),
            response => response.status === ProposalStatus.NotLeader || response.status === ProposalStatus.Unknown,
            response => response.leaderAddress,
        );
    }

    async show(): Promise<ShowResponse> {
        return this.callUntilAnswered((client, deadline, done) => client.show({}, new Metadata(), { deadline }, done));
    }

    async status(): Promise<StatusResponse> {
        return this.callUntilAnswered((client, deadline, done) =>
            client.status({}, new Metadata(), { deadline }, done)
        );
    }

    async drain(): Promise<void> {
        await this.callUntilAnswered((client, deadline, done) => client.drain({}, new Metadata(), { deadline }, done));
    }

    /** Asks the control leader to start a planned change of the primary of a group. */
    async changePrimary(groupId: string): Promise<ChangePrimaryResponse> {
        const { instance } = await this.status();
        const leader = instance?.leaderAddress ?? "";
        const servers = leader === "" ? this.options.servers : [leader];
        return this.callUntilAnswered(
            (client, deadline, done) => client.changePrimary({ groupId }, new Metadata(), { deadline }, done),
            () => false,
            () => "",
            servers,
        );
    }

    /** Gets the figures of one instance for the burn report. */
    async burn(server?: string): Promise<BurnResponse> {
        return this.callUntilAnswered(
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

    private async callUntilAnswered<Response>(
        call: UnaryCall<Response>,
        isInconclusive: (response: Response) => boolean = () => false,
        leaderAddressOf: (response: Response) => string = () => "",
        servers: readonly string[] = this.options.servers,
    ): Promise<Response> {
        const deadlineMs = Date.now() + this.options.timeoutMs;
        const failures = new Map<string, string>();
        let nextServerIndex = 0;
        let leaderHint = "";
        while (Date.now() < deadlineMs) {
            const server = leaderHint === "" ? servers[nextServerIndex++ % servers.length]! : leaderHint;
            leaderHint = "";
            try {
                const response = await this.callOnce(server, call, deadlineMs);
                if (!isInconclusive(response)) {
                    return response;
                }
                leaderHint = leaderAddressOf(response) === server ? "" : leaderAddressOf(response);
                failures.set(
                    server,
                    leaderHint === "" ? "knows no control leader" : `names ${leaderHint} as the leader`,
                );
            }
            catch (error) {
                failures.set(server, describeRetryableError(server, error as ServiceError));
            }
            await new Promise(resolve => setTimeout(resolve, retryIntervalMs));
        }
        const failureList = [...failures].map(([server, reason]) => `${server}: ${reason}`).join("; ");
        throw new UnreachableError(`no usable answer within ${this.options.timeoutMs} ms (${failureList})`);
    }

    private callOnce<Response>(server: string, call: UnaryCall<Response>, deadlineMs: number): Promise<Response> {
        const deadline = new Date(Math.min(deadlineMs, Date.now() + attemptTimeoutMs));
        return new Promise((resolve, reject) =>
            call(this.getClient(server), deadline, (error, response) => {
                if (response === undefined) {
                    reject(error);
                }
                else {
                    resolve(response);
                }
            })
        );
    }

    private getClient(server: string): Client {
        let client = this.clients.get(server);
        if (client === undefined) {
            client = this.options.clientFactory.createClient(Client, server);
            this.clients.set(server, client);
        }
        return client;
    }
}

/** @throws RefusedError if a retry cannot succeed */
function describeRetryableError(server: string, error: ServiceError): string {
    if (nonRetryableCodes.includes(error.code)) {
        throw new RefusedError(`${server} refused the call: ${error.details}`, { props: { peer: server } });
    }
    return error.details ?? error.message;
}
