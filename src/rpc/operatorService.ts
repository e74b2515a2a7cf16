/** The operators' service: source of proposals and sink of their results. */
import {
    type sendUnaryData,
    type Server,
    type ServerUnaryCall,
    status,
    type UntypedServiceImplementation,
} from "@grpc/grpc-js";
import { match } from "ts-pattern";
import { ClusterKind, type ConfigurationApplied, type DatabasesChanged } from "../model/clusterMessages.ts";
import { type Configuration, emptyConfiguration } from "../model/configuration.ts";
import {
    ControlKind,
    type ControlProposalEnded,
    type ControlPropose,
    ProposalStatus,
} from "../model/controlMessages.ts";
import { type ChangePrimary, HealthKind } from "../model/healthMessages.ts";
import type { Message } from "../pipeline/message.ts";
import type { Sink } from "../pipeline/sink.ts";
import {
    type BurnResponse,
    type ChangePrimaryRequest,
    type ChangePrimaryResponse,
    type ChangeRequest,
    type ChangeResponse,
    type InstanceStatus,
    OperatorService as Definition,
    type ShowResponse,
    type StatusResponse,
} from "./generated/operator.ts";
import { decodeChange } from "./operatorCommandCodec.ts";
import { respond } from "./unaryResponse.ts";

/** What the service shows of the process around it. */
export interface ManagedInstance {
    instanceStatus(configurationVersion: number): InstanceStatus;
    counters(): ReadonlyMap<string, number>;
    burnSnapshot(): string;
    knownInstances(): ReadonlyMap<string, string>;
    /** `host:port` of the control leader; empty when unknown. */
    leaderAddress(): string;
    drain(): void;
}

export interface OperatorServiceOptions {
    readonly instanceId: string;
    readonly post: (message: Message) => void;
    readonly managedInstance: ManagedInstance;
}

type Input = ControlProposalEnded | ConfigurationApplied | DatabasesChanged;

/** Time after which an unanswered change is reported as unknown; a resend with the same id tells. */
const changeLimitMs = 10_000;

export class OperatorService implements Sink<Input> {
    readonly accepts = [ControlKind.ProposalEnded, ClusterKind.ConfigurationApplied, ClusterKind.DatabasesChanged];
    private readonly options: OperatorServiceOptions;
    private readonly waiting = new Map<string, (ended: ChangeResponse) => void>();
    private configuration: Configuration = emptyConfiguration;
    private databases: DatabasesChanged["databases"] = [];
    private nextProposal = 0;

    constructor(options: OperatorServiceOptions) {
        this.options = options;
    }

    /** Adds the service to a server. */
    register(server: Server): void {
        const { managedInstance } = this.options;
        const implementation: UntypedServiceImplementation = {
            change: (call: ServerUnaryCall<ChangeRequest, ChangeResponse>, done: sendUnaryData<ChangeResponse>) =>
                this.change(call.request, done),
            show: (_: unknown, done: sendUnaryData<ShowResponse>) => respond(done, this.show()),
            status: (_: unknown, done: sendUnaryData<StatusResponse>) => respond(done, this.status()),
            drain: (_: unknown, done: sendUnaryData<object>) => {
                managedInstance.drain();
                respond(done, {});
            },
            changePrimary: (
                call: ServerUnaryCall<ChangePrimaryRequest, ChangePrimaryResponse>,
                done: sendUnaryData<ChangePrimaryResponse>,
            ) => respond(done, this.changePrimary(call.request)),
            burn: (_: unknown, done: sendUnaryData<BurnResponse>) => respond(done, this.burn()),
        };
        server.addService(Definition, implementation);
    }

    deliver(message: Input): void {
        match(message)
            .with({ kind: ControlKind.ProposalEnded }, ended => this.endChange(ended))
            .with({ kind: ClusterKind.ConfigurationApplied }, applied => {
                this.configuration = applied.configuration;
            })
            .with({ kind: ClusterKind.DatabasesChanged }, changed => {
                this.databases = changed.databases;
            })
            .exhaustive();
    }

    private change(request: ChangeRequest, done: sendUnaryData<ChangeResponse>): void {
        const command = decodeChange(request);
        if (typeof command === "string" || request.operationId === "") {
            const details = typeof command === "string"
                ? command
                : "operation_id is empty; give each change its own id";
            done({ code: status.INVALID_ARGUMENT, details });
            return;
        }
        const proposalId = `operator:${this.nextProposal++}`;
        const timer = setTimeout(() => this.answerChange(proposalId, unknownResult), changeLimitMs);
        this.waiting.set(proposalId, response => {
            clearTimeout(timer);
            respond(done, response);
        });
        const { operationId } = request;
        const propose: ControlPropose = { kind: ControlKind.Propose, proposalId, operationId, command };
        this.options.post(propose);
    }

    private endChange(ended: ControlProposalEnded): void {
        this.answerChange(ended.proposalId, {
            status: ended.status,
            version: ended.version,
            configurationVersion: ended.configurationVersion,
            detail: ended.detail,
            leaderAddress: ended.leaderAddress ?? this.options.managedInstance.leaderAddress(),
        });
    }

    private answerChange(proposalId: string, response: ChangeResponse): void {
        const answer = this.waiting.get(proposalId);
        this.waiting.delete(proposalId);
        answer?.(response);
    }

    private show(): ShowResponse {
        const { version, workClasses, workspaces, keys, openRoutes } = this.configuration;
        return {
            configurationVersion: version,
            workClasses: workClasses.map(each => ({ body: each, version: each.version })),
            workspaces: workspaces.map(each => ({ body: each, version: each.version })),
            keys: keys.map(each => ({ id: each.id, workspace: each.workspace, version: each.version })),
            openRoutes: openRoutes.map(each => ({ body: each, version: each.version })),
        };
    }

    private status(): StatusResponse {
        const databases = this.databases.map(each => ({
            databaseId: each.databaseId,
            groupId: each.groupId,
            service: each.service,
            dataCentre: each.dataCentre,
            role: each.role,
            available: each.available,
            term: each.position.term,
            offset: each.position.offset,
            holder: each.holder?.instanceId ?? "",
        }));
        const { managedInstance } = this.options;
        const counters = Object.fromEntries(managedInstance.counters());
        return { instance: managedInstance.instanceStatus(this.configuration.version), databases, counters };
    }

    private changePrimary({ groupId }: ChangePrimaryRequest): ChangePrimaryResponse {
        const { managedInstance, post } = this.options;
        const known = this.configuration.groups.some(group => group.groupId === groupId);
        if (known) {
            const change: ChangePrimary = { kind: HealthKind.ChangePrimary, groupId };
            post(change);
        }
        const refusal = known ? "" : `there is no group "${groupId}"; see "ctl status"`;
        return { refusal, leaderAddress: managedInstance.leaderAddress() };
    }

    private burn(): BurnResponse {
        const { managedInstance, instanceId } = this.options;
        const knownInstances = Object.fromEntries(managedInstance.knownInstances());
        return { snapshot: managedInstance.burnSnapshot(), instanceId, knownInstances };
    }
}

const unknownResult: ChangeResponse = {
    status: ProposalStatus.Unknown,
    version: 0,
    configurationVersion: 0,
    detail: "no majority answered in time; resend with the same operation id",
    leaderAddress: "",
};
