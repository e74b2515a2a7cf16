/** The leader's state of each lease: which process may use it, and whether it has ended. */
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
    /** The process that may use the lease; undefined until one claims or gets it under this leader. */
    incarnation: string | undefined;
    /** Time of the last answer that renewed the lease, or the latest time at which an earlier leader may have. */
    renewedAtMs: number;
    /** Whether the lease ended; if so, it is never renewed again in this epoch. */
    ended: boolean;
    /** If so, no earlier leader can have granted the lease to a process. */
    readonly assignedByThisLeader: boolean;
}

/**
 * Tracks one lease per assigned resource: 660 databases and one permit home per workspace and data centre. A lease is
 * bound to one incarnation of its instance, because a restarted process must not share it with a suspended predecessor.
 */
export class LeaseTracker {
    private readonly leases = new Map<string, TrackedLease>();
    private leasesByInstance = new Map<string, TrackedLease[]>();
    private leadershipStartMs = 0;

    /** Starts a leadership: leases renewed by an earlier leader may last until the grace period of the new one ends. */
    reset(configuration: Configuration, nowMs: number): void {
        this.leases.clear();
        this.leadershipStartMs = nowMs;
        this.applyConfiguration(configuration, nowMs, () => false);
    }

    /** Applies a configuration; `isOwn` returns whether this leader proposed the assignment of the resource `key`. */
    applyConfiguration(configuration: Configuration, nowMs: number, isOwn: (key: string) => boolean): void {
        this.leasesByInstance = new Map();
        for (const assignment of configuration.leases) {
            const key = resourceKey(assignment);
            let lease = this.leases.get(key);
            if (lease === undefined || lease.assignment.epoch < assignment.epoch) {
                const assignedByThisLeader = isOwn(key);
                const renewedAtMs = assignedByThisLeader ? nowMs : this.graceEndMs - reassignAfterMs;
                const sinceVersion = configuration.version;
                lease = {
                    assignment,
                    sinceVersion,
                    incarnation: undefined,
                    renewedAtMs,
                    ended: false,
                    assignedByThisLeader,
                };
                this.leases.set(key, lease);
            }
            const instanceLeases = this.leasesByInstance.get(assignment.instanceId) ?? [];
            instanceLeases.push(lease);
            this.leasesByInstance.set(assignment.instanceId, instanceLeases);
        }
    }

    private get graceEndMs(): number {
        return this.leadershipStartMs + newLeaderGraceMs;
    }

    assignmentOf(key: string): LeaseAssignment | undefined {
        return this.leases.get(key)?.assignment;
    }

    /** Marks the leases that the sender gave back as ended. */
    recordGivenBack(heartbeat: Heartbeat): void {
        for (const givenBack of heartbeat.givenBack) {
            const lease = this.findMatching(givenBack, heartbeat);
            if (lease !== undefined && (lease.incarnation ?? heartbeat.incarnation) === heartbeat.incarnation) {
                lease.ended = true;
            }
        }
    }

    /** Renews the leases of the sender that `mayRenew` allows, and returns them. */
    renew(heartbeat: Heartbeat, nowMs: number, mayRenew: (key: string, isBound: boolean) => boolean): LeaseReference[] {
        this.bindClaims(heartbeat);
        const renewed: LeaseReference[] = [];
        for (const lease of this.leasesByInstance.get(heartbeat.instanceId) ?? []) {
            const isBound = lease.incarnation === heartbeat.incarnation;
            if (
                !lease.ended && (isBound || this.canBind(lease, heartbeat, nowMs))
                && mayRenew(resourceKey(lease.assignment), isBound)
            ) {
                lease.incarnation = heartbeat.incarnation;
                lease.renewedAtMs = nowMs;
                const { resource, resourceId, epoch } = lease.assignment;
                renewed.push({ resource, resourceId, epoch });
            }
        }
        return renewed;
    }

    /** Whether no process can use the lease any more, provided that it is not renewed again. */
    hasEnded(key: string, nowMs: number): boolean {
        const lease = this.leases.get(key);
        if (lease === undefined) {
            return true;
        }
        const isUnused = lease.assignedByThisLeader && lease.incarnation === undefined;
        const isExpired = nowMs - lease.renewedAtMs >= reassignAfterMs;
        return lease.ended || isUnused || isExpired;
    }

    /** Prevents further renewals of a lease that has ended. */
    markEnded(key: string): void {
        const lease = this.leases.get(key);
        if (lease !== undefined) {
            lease.ended = true;
        }
    }

    needsAssignment(key: string, nowMs: number): boolean {
        const lease = this.leases.get(key);
        return lease === undefined || lease.ended || nowMs - lease.renewedAtMs >= reassignAfterMs;
    }

    /** Whether the process that sent the heartbeat uses the lease. */
    isBoundTo(key: string, heartbeat: Heartbeat): boolean {
        const lease = this.leases.get(key);
        return lease !== undefined
            && !lease.ended
            && lease.assignment.instanceId === heartbeat.instanceId
            && lease.incarnation === heartbeat.incarnation;
    }

    leaseCount(instanceId: string): number {
        return this.leasesByInstance.get(instanceId)?.length ?? 0;
    }

    private findMatching(reference: LeaseReference, heartbeat: Heartbeat): TrackedLease | undefined {
        const lease = this.leases.get(resourceKey(reference));
        const matches = lease?.assignment.epoch === reference.epoch
            && lease.assignment.instanceId === heartbeat.instanceId;
        return matches ? lease : undefined;
    }

    private bindClaims(heartbeat: Heartbeat): void {
        for (const claim of heartbeat.leases) {
            const lease = this.findMatching(claim, heartbeat);
            if (lease !== undefined) {
                lease.incarnation ??= heartbeat.incarnation;
            }
        }
    }

    // An instance that has not applied the assignment might still use the database in a former role.
    private canBind(lease: TrackedLease, heartbeat: Heartbeat, nowMs: number): boolean {
        // Within one epoch no permit home asks another to retire, so a new process waits for the whole earlier lease.
        const predecessorEndMs = lease.assignment.resource === ResourceKind.Permits
            ? this.graceEndMs + permitLeaseDurationMs - leaseDurationMs
            : this.graceEndMs;
        return lease.incarnation === undefined
            && (lease.assignedByThisLeader || nowMs >= predecessorEndMs)
            && heartbeat.configurationVersion >= lease.sinceVersion;
    }
}
