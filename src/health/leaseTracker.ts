/** What the leader knows of the running of each lease: which process may use it, and whether it has ended. */
import type { Configuration } from "../model/configuration.ts";
import type { Heartbeat, LeaseReference } from "../model/healthMessages.ts";
import {
    type LeaseAssignment,
    leaseDurationMs,
    newLeaderGraceMs,
    permitLeaseDurationMs,
    reassignAfterMs,
    ResourceKind,
} from "../model/lease.ts";
import { resourceKey } from "./ownLeases.ts";

interface TrackedLease {
    readonly assignment: LeaseAssignment;
    /** Configuration version at which this leader first saw the assignment. */
    readonly sinceVersion: number;
    /** The process that may use the lease; undefined until one claims or gets it in this office. */
    incarnation: string | undefined;
    /** Time of the last answer that renewed the lease, or the latest at which a predecessor can have done so. */
    renewedAtMs: number;
    /** The leader found it ended; it is never renewed again in this epoch. */
    ended: boolean;
    /** Assigned in this office, so that no earlier leader can have given it to a process. */
    readonly assignedByThisLeader: boolean;
}

/**
 * One entry per assigned resource: 660 databases and one permit home per workspace and data centre. A lease is tied to
 * one incarnation of its instance, because a restarted process must not share a lease with its frozen predecessor.
 */
export class LeaseTracker {
    private readonly terms = new Map<string, TrackedLease>();
    private byInstance = new Map<string, TrackedLease[]>();
    private leadershipStartMs = 0;

    /** Begins an office: what a predecessor renewed may run until the grace of a new leader ends. */
    reset(configuration: Configuration, nowMs: number): void {
        this.terms.clear();
        this.leadershipStartMs = nowMs;
        this.applyConfiguration(configuration, nowMs, () => false);
    }

    /** Follows the agreed assignments; `isOwn` tells which of them this office has proposed. */
    applyConfiguration(configuration: Configuration, nowMs: number, isOwn: (key: string) => boolean): void {
        this.byInstance = new Map();
        for (const assignment of configuration.leases) {
            const key = resourceKey(assignment);
            let term = this.terms.get(key);
            if (term === undefined || term.assignment.epoch < assignment.epoch) {
                const assignedByThisLeader = isOwn(key);
                const renewedAtMs = assignedByThisLeader ? nowMs : this.graceEndMs - reassignAfterMs;
                const sinceVersion = configuration.version;
                term = {
                    assignment,
                    sinceVersion,
                    incarnation: undefined,
                    renewedAtMs,
                    ended: false,
                    assignedByThisLeader: assignedByThisLeader,
                };
                this.terms.set(key, term);
            }
            const others = this.byInstance.get(assignment.instanceId) ?? [];
            others.push(term);
            this.byInstance.set(assignment.instanceId, others);
        }
    }

    private get graceEndMs(): number {
        return this.leadershipStartMs + newLeaderGraceMs;
    }

    assignmentOf(key: string): LeaseAssignment | undefined {
        return this.terms.get(key)?.assignment;
    }

    /** Marks the leases that the holder itself gave back. */
    recordGivenBack(heartbeat: Heartbeat): void {
        for (const given of heartbeat.givenBack) {
            const term = this.matching(given, heartbeat);
            if (term !== undefined && (term.incarnation ?? heartbeat.incarnation) === heartbeat.incarnation) {
                term.ended = true;
            }
        }
    }

    /** Renews the leases of the sender that `mayRenew` admits, and returns them. */
    renew(heartbeat: Heartbeat, nowMs: number, mayRenew: (key: string, bound: boolean) => boolean): LeaseReference[] {
        this.bindClaims(heartbeat);
        const renewed: LeaseReference[] = [];
        for (const term of this.byInstance.get(heartbeat.instanceId) ?? []) {
            const bound = term.incarnation === heartbeat.incarnation;
            if (
                !term.ended && (bound || this.canBind(term, heartbeat, nowMs))
                && mayRenew(resourceKey(term.assignment), bound)
            ) {
                term.incarnation = heartbeat.incarnation;
                term.renewedAtMs = nowMs;
                const { resource, resourceId, epoch } = term.assignment;
                renewed.push({ resource, resourceId, epoch });
            }
        }
        return renewed;
    }

    /** Whether nobody can use the lease any more; when so, it is never renewed again. */
    hasEnded(key: string, nowMs: number): boolean {
        const term = this.terms.get(key);
        if (term === undefined) {
            return true;
        }
        const unused = term.assignedByThisLeader && term.incarnation === undefined;
        const waitedOut = nowMs - term.renewedAtMs >= reassignAfterMs;
        return term.ended || unused || waitedOut;
    }

    /** Ends a lease of which `hasEnded` is true for good. */
    markEnded(key: string): void {
        const term = this.terms.get(key);
        if (term !== undefined) {
            term.ended = true;
        }
    }

    /** Whether `key` needs a new assignment now. */
    needsAssignment(key: string, nowMs: number): boolean {
        const term = this.terms.get(key);
        return term === undefined || term.ended || nowMs - term.renewedAtMs >= reassignAfterMs;
    }

    /** Whether the instance uses the lease. */
    isBoundTo(key: string, heartbeat: Heartbeat): boolean {
        const term = this.terms.get(key);
        return term !== undefined
            && !term.ended
            && term.assignment.instanceId === heartbeat.instanceId
            && term.incarnation === heartbeat.incarnation;
    }

    /** The number of leases assigned to an instance. */
    leaseCount(instanceId: string): number {
        return this.byInstance.get(instanceId)?.length ?? 0;
    }

    private matching(lease: LeaseReference, heartbeat: Heartbeat): TrackedLease | undefined {
        const term = this.terms.get(resourceKey(lease));
        const matches = term?.assignment.epoch === lease.epoch && term.assignment.instanceId === heartbeat.instanceId;
        return matches ? term : undefined;
    }

    private bindClaims(heartbeat: Heartbeat): void {
        for (const claim of heartbeat.leases) {
            const term = this.matching(claim, heartbeat);
            if (term !== undefined) {
                term.incarnation ??= heartbeat.incarnation;
            }
        }
    }

    // An instance that has not applied the assignment could still see the database in a role that has been replaced.
    private canBind(term: TrackedLease, heartbeat: Heartbeat, nowMs: number): boolean {
        // Within one epoch no home asks another to retire, so a new process waits for the whole lease of its predecessor.
        const predecessorEndMs = term.assignment.resource === ResourceKind.Permits
            ? this.graceEndMs + permitLeaseDurationMs - leaseDurationMs
            : this.graceEndMs;
        return term.incarnation === undefined
            && (term.assignedByThisLeader || nowMs >= predecessorEndMs)
            && heartbeat.configurationVersion >= term.sinceVersion;
    }
}
