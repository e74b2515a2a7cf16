/** Server side of the operator service: proposes changes, reports the state of the cluster, and starts a drain. */
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

/** The instance that operators inspect and drain through this service. */
export interface ManagedInstance {
    instanceStatus(configurationVersion: number): InstanceStatus;
    counters(): ReadonlyMap<string, number>;
    burnSnapshot(): string;
    knownInstances(): ReadonlyMap<string, string>;
    /** `host:port` of the control leader; empty if unknown. */
    leaderAddress(): string;
    drain(): void;
}

export interface OperatorServiceOptions {
    readonly instanceId: string;
    readonly post: (message: Message) => void;
    readonly managedInstance: ManagedInstance;
}

type ConsumedMessage = ControlProposalEnded | ConfigurationApplied | DatabasesChanged;

/** Timeout of a change, after which its outcome is reported as unknown; a resend with the same operation id gets it. */
const changeTimeoutMs = 10_000;

export class OperatorService implements Sink<ConsumedMessage> {
    readonly accepts = [ControlKind.ProposalEnded, ClusterKind.ConfigurationApplied, ClusterKind.DatabasesChanged];
    private readonly options: OperatorServiceOptions;
    private readonly pendingChanges = new Map<string, (ended: ChangeResponse) => void>();
    private configuration: Configuration = emptyConfiguration;
    private databases: DatabasesChanged["databases"] = [];
    private nextProposalNumber = 0;

    constructor(options: OperatorServiceOptions) {
        this.options = options;
    }

    /** Adds the service to a server that was created by `createPeerServer`. */
    register(server: Server): void {
        const { managedInstance } = this.options;
        const implementation: UntypedServiceImplementation = {
            change: (call: ServerUnaryCall<ChangeRequest, ChangeResponse>, callback: sendUnaryData<ChangeResponse>) =>
                this.change(call.request, callback),
            show: (_: unknown, callback: sendUnaryData<ShowResponse>) => respond(callback, this.show()),
            status: (_: unknown, callback: sendUnaryData<StatusResponse>) => respond(callback, this.status()),
            drain: (_: unknown, callback: sendUnaryData<object>) => {
                managedInstance.drain();
                respond(callback, {});
            },
            changePrimary: (
                call: ServerUnaryCall<ChangePrimaryRequest, ChangePrimaryResponse>,
                callback: sendUnaryData<ChangePrimaryResponse>,
            ) => respond(callback, this.changePrimary(call.request)),
            burn: (_: unknown, callback: sendUnaryData<BurnResponse>) => respond(callback, this.burn()),
        };
        server.addService(Definition, implementation);
    }

    deliver(message: ConsumedMessage): void {
        match(message)
            .with({ kind: ControlKind.ProposalEnded }, ended => this.completeChange(ended))
            .with({ kind: ClusterKind.ConfigurationApplied }, applied => {
                this.configuration = applied.configuration;
            })
            .with({ kind: ClusterKind.DatabasesChanged }, changed => {
                this.databases = changed.databases;
            })
            .exhaustive();
    }

    private change(request: ChangeRequest, callback: sendUnaryData<ChangeResponse>): void {
        const command = decodeChange(request);
        if (typeof command === "string" || request.operationId === "") {
            const details = typeof command === "string"
                ? command
                : "operation_id is empty; give each change its own id";
            callback({ code: status.INVALID_ARGUMENT, details });
            return;
        }
        const proposalId = `operator:${this.nextProposalNumber++}`;
        const timer = setTimeout(() => this.respondToChange(proposalId, unknownOutcome), changeTimeoutMs);
        this.pendingChanges.set(proposalId, response => {
            clearTimeout(timer);
            respond(callback, response);
        });
        const { operationId } = request;
        const propose: ControlPropose = { kind: ControlKind.Propose, proposalId, operationId, command };
        this.options.post(propose);
    }

    private completeChange(ended: ControlProposalEnded): void {
        this.respondToChange(ended.proposalId, {
            status: ended.status,
            version: ended.version,
            configurationVersion: ended.configurationVersion,
            detail: ended.detail,
            leaderAddress: ended.leaderAddress ?? this.options.managedInstance.leaderAddress(),
        });
    }

    private respondToChange(proposalId: string, response: ChangeResponse): void {
        const answer = this.pendingChanges.get(proposalId);
        this.pendingChanges.delete(proposalId);
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
        const isKnown = this.configuration.groups.some(group => group.groupId === groupId);
        if (isKnown) {
            const change: ChangePrimary = { kind: HealthKind.ChangePrimary, groupId };
            post(change);
        }
        const refusal = isKnown ? "" : `there is no group "${groupId}"; see "ctl status"`;
        return { refusal, leaderAddress: managedInstance.leaderAddress() };
    }

    private burn(): BurnResponse {
        const { managedInstance, instanceId } = this.options;
        const knownInstances = Object.fromEntries(managedInstance.knownInstances());
        return { snapshot: managedInstance.burnSnapshot(), instanceId, knownInstances };
    }
}

const unknownOutcome: ChangeResponse = {
    status: ProposalStatus.Unknown,
    version: 0,
    configurationVersion: 0,
    detail: "no majority answered in time; resend with the same operation id",
    leaderAddress: "",
};
