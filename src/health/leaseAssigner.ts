/** Assigns databases and permit homes to instances; runs on the leader. */
import { match } from "ts-pattern";
import { ClusterKind, type ConfigurationApplied } from "../model/clusterMessages.ts";
import { type Configuration, emptyConfiguration } from "../model/configuration.ts";
import {
    CommandKind,
    ControlKind,
    type ControlProposalEnded,
    type ControlPropose,
    ProposalStatus,
} from "../model/controlMessages.ts";
import {
    type AllowLease,
    type DirectoryChanged,
    type EndLease,
    HealthKind,
    type HeartbeatChecked,
    type LeadershipStarted,
    type LeaderTicked,
    type LeaseEnded,
    type LeaseRelease,
} from "../model/healthMessages.ts";
import { type LeaseAssignment, permitLeaseDurationMs, ResourceKind } from "../model/lease.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { chooseHolder } from "./holderChoice.ts";
import { type Instance, InstanceTable } from "./instanceTable.ts";
import { LeaseTracker } from "./leaseTracker.ts";
import { resourceKey } from "./ownLeases.ts";

/** Maximum number of assignments per proposal; bounds the size of a log entry to about 20 KB. */
const assignmentsPerProposal = 200;

/** Delay of the first assignment of a new leader, so that the first instance that it knows does not get everything. */
const assignmentDelayMs = 1_100;

/** Request of failover to end the lease of a database and to leave the database unassigned. */
interface EndRequest {
    readonly changeId: string;
    readonly atOnce: boolean;
    readonly endReported: boolean;
}

interface Proposal {
    readonly proposalId: string;
    readonly keys: ReadonlySet<string>;
    /** Configuration version that contains the result; undefined while the proposal is open. */
    readonly resultVersion: number | undefined;
}

interface AssignableResource {
    readonly resource: ResourceKind;
    readonly resourceId: string;
    readonly dataCentre: string;
    /** Whether an instance of another data centre may hold the resource if its own has none left. */
    readonly allowOtherDataCentres: boolean;
}

type Input =
    | AllowLease
    | ConfigurationApplied
    | ControlProposalEnded
    | DirectoryChanged
    | EndLease
    | HeartbeatChecked
    | LeaderTicked
    | LeadershipStarted;

export interface LeaseAssignerOptions {
    /** Unique per process; part of the proposal ids. */
    readonly incarnation: string;
}

/**
 * Renews leases in heartbeat answers and reassigns those that have ended. A tick takes time linear in the number of
 * resources (660 databases and 8 workspaces × 7 data centres), plus time linear in the number of instances of one data
 * centre for each reassigned resource.
 */
export class LeaseAssigner implements Filter {
    readonly step = "lease_assigner";
    readonly accepts = [
        ClusterKind.ConfigurationApplied,
        ControlKind.ProposalEnded,
        HealthKind.AllowLease,
        HealthKind.DirectoryChanged,
        HealthKind.EndLease,
        HealthKind.HeartbeatChecked,
        HealthKind.LeaderTicked,
        HealthKind.LeadershipStarted,
    ];
    private readonly incarnation: string;
    private readonly leaseTracker = new LeaseTracker();
    private readonly instances = new InstanceTable();
    private readonly databases = new Map<string, AssignableResource & { readonly available: boolean; }>();
    private readonly endRequests = new Map<string, EndRequest>();
    private configuration: Configuration = emptyConfiguration;
    private primaries: ReadonlySet<string> = new Set();
    private proposal: Proposal | undefined;
    private nextProposal = 1;
    private leadershipStartMs = 0;

    constructor(options: LeaseAssignerOptions) {
        this.incarnation = options.incarnation;
    }

    process(message: Message, nowMs: number): readonly Message[] {
        // Heartbeats are matched first, as the most frequent kind: 940 a second with 470 instances.
        return match(message as Input)
            .with({ kind: HealthKind.HeartbeatChecked }, checked => this.handleHeartbeat(checked, nowMs))
            .with({ kind: HealthKind.LeadershipStarted }, started => this.startLeadership(started, nowMs))
            .with({ kind: ClusterKind.ConfigurationApplied }, applied => this.handleConfiguration(applied, nowMs))
            .with({ kind: ControlKind.ProposalEnded }, ended => {
                this.handleProposalEnded(ended);
                return [ended];
            })
            .with({ kind: HealthKind.DirectoryChanged }, changed => {
                this.recordDatabase(changed);
                return [changed];
            })
            .with({ kind: HealthKind.EndLease }, ({ databaseId, changeId, atOnce }) => {
                this.endRequests.set(databaseId, { changeId, atOnce, endReported: false });
                return this.reportEndedLeases(nowMs);
            })
            .with({ kind: HealthKind.AllowLease }, ({ databaseId }) => {
                this.endRequests.delete(databaseId);
                return [];
            })
            .with(
                { kind: HealthKind.LeaderTicked },
                ticked => [...this.reportEndedLeases(nowMs), ...this.assign(nowMs), ticked],
            )
            .exhaustive();
    }

    private startLeadership(started: LeadershipStarted, nowMs: number): readonly Message[] {
        this.leadershipStartMs = nowMs;
        this.proposal = undefined;
        this.endRequests.clear();
        this.databases.clear();
        this.instances.clear();
        this.leaseTracker.reset(this.configuration, nowMs);
        return [started];
    }

    private handleConfiguration(applied: ConfigurationApplied, nowMs: number): readonly Message[] {
        this.configuration = applied.configuration;
        this.primaries = new Set(applied.configuration.groups.map(group => group.primaryId));
        this.leaseTracker.applyConfiguration(
            applied.configuration,
            nowMs,
            key => this.proposal?.keys.has(key) ?? false,
        );
        this.clearAppliedProposal();
        return [applied];
    }

    private handleProposalEnded(ended: ControlProposalEnded): void {
        if (this.proposal?.proposalId !== ended.proposalId) {
            return;
        }
        const applied = ended.status === ProposalStatus.Applied;
        this.proposal = applied ? { ...this.proposal, resultVersion: ended.configurationVersion } : undefined;
        this.clearAppliedProposal();
    }

    // An applied proposal is kept until the configuration contains its result; a new one before that would conflict.
    private clearAppliedProposal(): void {
        if ((this.proposal?.resultVersion ?? Infinity) <= this.configuration.version) {
            this.proposal = undefined;
        }
    }

    private recordDatabase({ entry }: DirectoryChanged): void {
        const { databaseId, dataCentre } = entry.announcement;
        this.databases.set(databaseId, {
            resource: ResourceKind.Database,
            resourceId: databaseId,
            dataCentre,
            allowOtherDataCentres: false,
            available: entry.available,
        });
    }

    private handleHeartbeat(checked: HeartbeatChecked, nowMs: number): readonly Message[] {
        const { heartbeat } = checked;
        this.instances.recordHeartbeat(heartbeat, nowMs);
        this.leaseTracker.recordGivenBack(heartbeat);
        const renewed = this.leaseTracker.renew(heartbeat, nowMs, (key, isBound) => this.mayRenew(key, isBound));
        const releases: LeaseRelease[] = [];
        for (const [databaseId, { atOnce }] of this.endRequests) {
            if (this.leaseTracker.isBoundTo(databaseKey(databaseId), heartbeat)) {
                releases.push({ databaseId, atOnce });
            }
        }
        const answered: HeartbeatChecked = { ...checked, answer: { ...checked.answer, renewed, releases } };
        return [...this.reportEndedLeases(nowMs), answered];
    }

    private mayRenew(key: string, isBound: boolean): boolean {
        const request = this.endRequestByKey(key);
        const ending = request !== undefined && (request.atOnce || request.endReported || !isBound);
        return !ending && !(this.proposal?.keys.has(key) ?? false);
    }

    private endRequestByKey(key: string): EndRequest | undefined {
        const prefix = databaseKey("");
        return key.startsWith(prefix) ? this.endRequests.get(key.slice(prefix.length)) : undefined;
    }

    private reportEndedLeases(nowMs: number): readonly LeaseEnded[] {
        const ended: LeaseEnded[] = [];
        for (const [databaseId, request] of this.endRequests) {
            const key = databaseKey(databaseId);
            // An open proposal may still assign the lease to a new holder.
            if (
                !request.endReported && !(this.proposal?.keys.has(key) ?? false)
                && this.leaseTracker.hasEnded(key, nowMs)
            ) {
                this.leaseTracker.markEnded(key);
                this.endRequests.set(databaseId, { ...request, endReported: true });
                ended.push({ kind: HealthKind.LeaseEnded, databaseId, changeId: request.changeId });
            }
        }
        return ended;
    }

    private assign(nowMs: number): readonly ControlPropose[] {
        if (this.proposal !== undefined || nowMs - this.leadershipStartMs < assignmentDelayMs) {
            return [];
        }
        const needed = [...this.assignableResources()].filter(assignable =>
            this.leaseTracker.needsAssignment(resourceKey(assignable), nowMs)
        );
        const assignments = needed.length === 0 ? [] : this.chooseHolders(needed, nowMs);
        if (assignments.length === 0) {
            return [];
        }
        assignments.forEach(assignment => this.leaseTracker.markEnded(resourceKey(assignment)));
        const proposalId = `lease/${this.incarnation}/${this.nextProposal++}`;
        this.proposal = { proposalId, keys: new Set(assignments.map(resourceKey)), resultVersion: undefined };
        const command = { kind: CommandKind.AssignLeases, assignments } as const;
        return [{ kind: ControlKind.Propose, proposalId, operationId: "", command }];
    }

    private chooseHolders(needed: readonly AssignableResource[], nowMs: number): LeaseAssignment[] {
        const aliveByDataCentre = this.instances.candidatesByDataCentre(nowMs);
        const assignments: LeaseAssignment[] = [];
        const addedLoad = new Map<string, number>();
        for (const assignable of needed) {
            if (assignments.length >= assignmentsPerProposal) {
                break;
            }
            const key = resourceKey(assignable);
            const local = aliveByDataCentre.get(assignable.dataCentre) ?? [];
            const alive = local.length === 0 && assignable.allowOtherDataCentres
                ? [...aliveByDataCentre.values()].flat()
                : local;
            const eligible = assignable.resource === ResourceKind.Permits ? preferLongRunning(alive, nowMs) : alive;
            const candidates = eligible.map(({ instanceId, address }) => {
                return {
                    instanceId,
                    address,
                    load: this.leaseTracker.leaseCount(instanceId) + (addedLoad.get(instanceId) ?? 0),
                };
            });
            const previousHolderId = this.leaseTracker.assignmentOf(key)?.instanceId;
            const holder = candidates.find(instance => instance.instanceId === previousHolderId)
                ?? chooseHolder(key, candidates);
            if (holder !== undefined) {
                addedLoad.set(holder.instanceId, (addedLoad.get(holder.instanceId) ?? 0) + 1);
                assignments.push(this.assignment(assignable, holder));
            }
        }
        return assignments;
    }

    private assignment(
        assignable: AssignableResource,
        holder: Pick<Instance, "instanceId" | "address">,
    ): LeaseAssignment {
        return {
            resource: assignable.resource,
            resourceId: assignable.resourceId,
            instanceId: holder.instanceId,
            instanceAddress: holder.address,
            epoch: (this.leaseTracker.assignmentOf(resourceKey(assignable))?.epoch ?? 0) + 1,
        };
    }

    private *assignableResources(): Generator<AssignableResource> {
        for (const database of this.databases.values()) {
            if (!this.endRequests.has(database.resourceId)) {
                // A replica is of no use without an instance in its data centre, but writes still need the primary.
                yield {
                    ...database,
                    allowOtherDataCentres: database.available && this.primaries.has(database.resourceId),
                };
            }
        }
        for (const workspace of this.configuration.workspaces) {
            for (const dataCentre of this.instances.dataCentres) {
                const resourceId = `${workspace.name}@${dataCentre}`;
                yield { resource: ResourceKind.Permits, resourceId, dataCentre, allowOtherDataCentres: false };
            }
        }
    }
}

function databaseKey(databaseId: string): string {
    return resourceKey({ resource: ResourceKind.Database, resourceId: databaseId });
}

/** A process that has run for a whole permit lease knows the former permit homes, and so its own may start sooner. */
function preferLongRunning(instances: readonly Instance[], nowMs: number): readonly Instance[] {
    const longRunning = instances.filter(({ firstHeartbeatAtMs }) =>
        nowMs - firstHeartbeatAtMs >= permitLeaseDurationMs
    );
    return longRunning.length > 0 ? longRunning : instances;
}
