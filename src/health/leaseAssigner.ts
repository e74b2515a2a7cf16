/** The leader's assignment of databases and permit homes to instances. */
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

/** Assignments per proposal; bounds the size of a log entry to about 20 KB. */
const assignmentsPerProposal = 200;

/** Time in office before the first assignment, so that the first instance heard of does not get everything. */
const settleMs = 1_100;

interface Withheld {
    readonly changeId: string;
    readonly atOnce: boolean;
    readonly reported: boolean;
}

interface Proposal {
    readonly proposalId: string;
    readonly keys: ReadonlySet<string>;
    /** Configuration version that contains the result; undefined while it is open. */
    readonly resultVersion: number | undefined;
}

interface Wanted {
    readonly resource: ResourceKind;
    readonly resourceId: string;
    readonly dataCentre: string;
    /** May be held from another data centre when its own has no instance left. */
    readonly anywhere: boolean;
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
    /** Differs between processes; proposal ids begin with it. */
    readonly incarnation: string;
}

/**
 * Renews leases in heartbeat answers and reassigns those that have ended. Work per tick is linear in the number of
 * resources (660 databases and 8 workspaces × 7 data centres), and per reassigned resource linear in the instances of one
 * data centre.
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
    private readonly databases = new Map<string, Wanted & { readonly available: boolean; }>();
    private readonly withheld = new Map<string, Withheld>();
    private configuration: Configuration = emptyConfiguration;
    private primaries: ReadonlySet<string> = new Set();
    private proposal: Proposal | undefined;
    private nextProposal = 1;
    private leadershipStartMs = 0;

    constructor(options: LeaseAssignerOptions) {
        this.incarnation = options.incarnation;
    }

    process(message: Message, nowMs: number): readonly Message[] {
        // The most frequent kind first: 940 heartbeats a second with 470 instances.
        return match(message as Input)
            .with({ kind: HealthKind.HeartbeatChecked }, checked => this.checked(checked, nowMs))
            .with({ kind: HealthKind.LeadershipStarted }, started => this.start(started, nowMs))
            .with({ kind: ClusterKind.ConfigurationApplied }, applied => this.applied(applied, nowMs))
            .with({ kind: ControlKind.ProposalEnded }, ended => {
                this.proposalEnded(ended);
                return [ended];
            })
            .with({ kind: HealthKind.DirectoryChanged }, changed => {
                this.learn(changed);
                return [changed];
            })
            .with({ kind: HealthKind.EndLease }, ({ databaseId, changeId, atOnce }) => {
                this.withheld.set(databaseId, { changeId, atOnce, reported: false });
                return this.reportEnded(nowMs);
            })
            .with({ kind: HealthKind.AllowLease }, ({ databaseId }) => {
                this.withheld.delete(databaseId);
                return [];
            })
            .with(
                { kind: HealthKind.LeaderTicked },
                ticked => [...this.reportEnded(nowMs), ...this.assign(nowMs), ticked],
            )
            .exhaustive();
    }

    private start(started: LeadershipStarted, nowMs: number): readonly Message[] {
        this.leadershipStartMs = nowMs;
        this.proposal = undefined;
        this.withheld.clear();
        this.databases.clear();
        this.instances.clear();
        this.leaseTracker.reset(this.configuration, nowMs);
        return [started];
    }

    private applied(applied: ConfigurationApplied, nowMs: number): readonly Message[] {
        this.configuration = applied.configuration;
        this.primaries = new Set(applied.configuration.groups.map(group => group.primaryId));
        this.leaseTracker.applyConfiguration(
            applied.configuration,
            nowMs,
            key => this.proposal?.keys.has(key) ?? false,
        );
        this.forgetAppliedProposal();
        return [applied];
    }

    private proposalEnded(ended: ControlProposalEnded): void {
        if (this.proposal?.proposalId !== ended.proposalId) {
            return;
        }
        const applied = ended.status === ProposalStatus.Applied;
        this.proposal = applied ? { ...this.proposal, resultVersion: ended.configurationVersion } : undefined;
        this.forgetAppliedProposal();
    }

    // An applied result counts when the configuration shows it; asking again before that would only conflict.
    private forgetAppliedProposal(): void {
        if ((this.proposal?.resultVersion ?? Infinity) <= this.configuration.version) {
            this.proposal = undefined;
        }
    }

    private learn({ entry }: DirectoryChanged): void {
        const { databaseId, dataCentre } = entry.announcement;
        this.databases.set(databaseId, {
            resource: ResourceKind.Database,
            resourceId: databaseId,
            dataCentre,
            anywhere: false,
            available: entry.available,
        });
    }

    private checked(checked: HeartbeatChecked, nowMs: number): readonly Message[] {
        const { heartbeat } = checked;
        this.instances.recordHeartbeat(heartbeat, nowMs);
        this.leaseTracker.recordGivenBack(heartbeat);
        const renewed = this.leaseTracker.renew(heartbeat, nowMs, (key, bound) => this.mayRenew(key, bound));
        const releases: LeaseRelease[] = [];
        for (const [databaseId, { atOnce }] of this.withheld) {
            if (this.leaseTracker.isBoundTo(databaseKey(databaseId), heartbeat)) {
                releases.push({ databaseId, atOnce });
            }
        }
        const answered: HeartbeatChecked = { ...checked, answer: { ...checked.answer, renewed, releases } };
        return [...this.reportEnded(nowMs), answered];
    }

    private mayRenew(key: string, bound: boolean): boolean {
        const withheld = this.withheldByKey(key);
        const ending = withheld !== undefined && (withheld.atOnce || withheld.reported || !bound);
        return !ending && !(this.proposal?.keys.has(key) ?? false);
    }

    private withheldByKey(key: string): Withheld | undefined {
        const prefix = databaseKey("");
        return key.startsWith(prefix) ? this.withheld.get(key.slice(prefix.length)) : undefined;
    }

    private reportEnded(nowMs: number): readonly LeaseEnded[] {
        const ended: LeaseEnded[] = [];
        for (const [databaseId, withheld] of this.withheld) {
            const key = databaseKey(databaseId);
            // An open proposal may still make the lease valid for its new holder.
            if (
                !withheld.reported && !(this.proposal?.keys.has(key) ?? false) && this.leaseTracker.hasEnded(key, nowMs)
            ) {
                this.leaseTracker.markEnded(key);
                this.withheld.set(databaseId, { ...withheld, reported: true });
                ended.push({ kind: HealthKind.LeaseEnded, databaseId, changeId: withheld.changeId });
            }
        }
        return ended;
    }

    private assign(nowMs: number): readonly ControlPropose[] {
        if (this.proposal !== undefined || nowMs - this.leadershipStartMs < settleMs) {
            return [];
        }
        const needed = [...this.wanted()].filter(wanted =>
            this.leaseTracker.needsAssignment(resourceKey(wanted), nowMs)
        );
        const assignments = needed.length === 0 ? [] : this.chooseAll(needed, nowMs);
        if (assignments.length === 0) {
            return [];
        }
        assignments.forEach(assignment => this.leaseTracker.markEnded(resourceKey(assignment)));
        const proposalId = `lease/${this.incarnation}/${this.nextProposal++}`;
        this.proposal = { proposalId, keys: new Set(assignments.map(resourceKey)), resultVersion: undefined };
        const command = { kind: CommandKind.AssignLeases, assignments } as const;
        return [{ kind: ControlKind.Propose, proposalId, operationId: "", command }];
    }

    private chooseAll(needed: readonly Wanted[], nowMs: number): LeaseAssignment[] {
        const candidates = this.instances.candidatesByDataCentre(nowMs);
        const assignments: LeaseAssignment[] = [];
        const added = new Map<string, number>();
        for (const wanted of needed) {
            if (assignments.length >= assignmentsPerProposal) {
                break;
            }
            const key = resourceKey(wanted);
            const own = candidates.get(wanted.dataCentre) ?? [];
            const alive = own.length === 0 && wanted.anywhere ? [...candidates.values()].flat() : own;
            const possible = wanted.resource === ResourceKind.Permits ? preferSettled(alive, nowMs) : alive;
            const loaded = possible.map(({ instanceId, address }) => {
                return {
                    instanceId,
                    address,
                    load: this.leaseTracker.leaseCount(instanceId) + (added.get(instanceId) ?? 0),
                };
            });
            const last = this.leaseTracker.assignmentOf(key)?.instanceId;
            const holder = loaded.find(instance => instance.instanceId === last) ?? chooseHolder(key, loaded);
            if (holder !== undefined) {
                added.set(holder.instanceId, (added.get(holder.instanceId) ?? 0) + 1);
                assignments.push(this.assignment(wanted, holder));
            }
        }
        return assignments;
    }

    private assignment(wanted: Wanted, holder: Pick<Instance, "instanceId" | "address">): LeaseAssignment {
        return {
            resource: wanted.resource,
            resourceId: wanted.resourceId,
            instanceId: holder.instanceId,
            instanceAddress: holder.address,
            epoch: (this.leaseTracker.assignmentOf(resourceKey(wanted))?.epoch ?? 0) + 1,
        };
    }

    private *wanted(): Generator<Wanted> {
        for (const database of this.databases.values()) {
            if (!this.withheld.has(database.resourceId)) {
                // A replica without an instance in its data centre serves nobody; a primary is still needed for writes.
                yield { ...database, anywhere: database.available && this.primaries.has(database.resourceId) };
            }
        }
        for (const workspace of this.configuration.workspaces) {
            for (const dataCentre of this.instances.dataCentres) {
                const resourceId = `${workspace.name}@${dataCentre}`;
                yield { resource: ResourceKind.Permits, resourceId, dataCentre, anywhere: false };
            }
        }
    }
}

function databaseKey(databaseId: string): string {
    return resourceKey({ resource: ResourceKind.Database, resourceId: databaseId });
}

/** A permit home may begin sooner where the process has seen the homes before it come and go. */
function preferSettled(instances: readonly Instance[], nowMs: number): readonly Instance[] {
    const settled = instances.filter(({ firstHeartbeatAtMs: sinceMs }) => nowMs - sinceMs >= permitLeaseDurationMs);
    return settled.length > 0 ? settled : instances;
}
