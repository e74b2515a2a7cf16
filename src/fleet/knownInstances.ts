/** The instances that serve callers, as an instance learns them from the control member that it follows. */
import type { InstancesChangedFrame } from "../model/fleetMessages.ts";
import { isSameInstance, type PeerInstance } from "../model/peerMessages.ts";

/**
 * Time for which an instance that the followed member does not list is kept. A member that has just started lists only
 * the instances that have attached to it; the others attach within the longest retry delay (1.5 s), the longest attempt
 * (1.5 s) and the delay of an announcement.
 */
const absenceLimitMs = 4_000;

export class KnownInstances {
    private readonly instances = new Map<string, PeerInstance>();
    private readonly absentUntilMs = new Map<string, number>();
    private changed = false;

    /** Applies the full list of a member that this instance has begun to follow. */
    replace(instances: readonly PeerInstance[], nowMs: number): void {
        const listed = new Set(instances.map(({ instanceId }) => instanceId));
        instances.forEach(instance => this.add(instance));
        [...this.instances.keys()].filter(instanceId => !listed.has(instanceId))
            .forEach(instanceId => this.markAbsent(instanceId, nowMs));
    }

    /** @param isAuthoritative false if the member may be partitioned itself: instances that left it may still run */
    applyChanges({ joined, left }: InstancesChangedFrame, isAuthoritative: boolean, nowMs: number): void {
        joined.forEach(instance => this.add(instance));
        left.forEach(instanceId => isAuthoritative ? this.remove(instanceId) : this.markAbsent(instanceId, nowMs));
    }

    /** Removes instances that were absent for too long, and returns the time of the next expiry. */
    removeExpired(nowMs: number): number | undefined {
        [...this.absentUntilMs].filter(([, untilMs]) => untilMs <= nowMs)
            .forEach(([instanceId]) => this.remove(instanceId));
        return this.absentUntilMs.size === 0 ? undefined : Math.min(...this.absentUntilMs.values());
    }

    /** The list of instances if it changed since the last call, otherwise undefined. */
    takeUpdate(): readonly PeerInstance[] | undefined {
        if (!this.changed) {
            return undefined;
        }
        this.changed = false;
        return [...this.instances.values()];
    }

    private add(instance: PeerInstance): void {
        const { instanceId } = instance;
        this.absentUntilMs.delete(instanceId);
        if (!isSameInstance(this.instances.get(instanceId), instance)) {
            this.instances.set(instanceId, instance);
            this.changed = true;
        }
    }

    private remove(instanceId: string): void {
        this.absentUntilMs.delete(instanceId);
        this.changed = this.instances.delete(instanceId) || this.changed;
    }

    /** Starts the expiry of an instance; absence at a further member does not extend it. */
    private markAbsent(instanceId: string, nowMs: number): void {
        if (this.instances.has(instanceId) && !this.absentUntilMs.has(instanceId)) {
            this.absentUntilMs.set(instanceId, nowMs + absenceLimitMs);
        }
    }
}
