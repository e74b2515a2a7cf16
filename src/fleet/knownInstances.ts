/** The instances that serve callers, as an instance learns of them from the member that it follows. */
import type { InstancesChangedFrame } from "../model/fleetMessages.ts";
import { type PeerInstance, sameInstance } from "../model/peerMessages.ts";

/**
 * Time for which an instance stays known that the followed member does not list. A member that has just started lists
 * only those that have attached to it, and the others do within the longest pause between attempts (1.5 s), the longest
 * attempt (1.5 s) and an announcement.
 */
const absenceLimitMs = 4_000;

export class KnownInstances {
    private readonly instances = new Map<string, PeerInstance>();
    private readonly absentUntilMs = new Map<string, number>();
    private changed = false;

    /** Takes the whole list of a member that is followed from now on. */
    replace(instances: readonly PeerInstance[], nowMs: number): void {
        const listed = new Set(instances.map(({ instanceId }) => instanceId));
        instances.forEach(instance => this.add(instance));
        [...this.instances.keys()].filter(instanceId => !listed.has(instanceId))
            .forEach(instanceId => this.markAbsent(instanceId, nowMs));
    }

    /** @param isAuthoritative a member that may be cut off itself is not certain that an instance has gone */
    applyChanges({ joined, left }: InstancesChangedFrame, isAuthoritative: boolean, nowMs: number): void {
        joined.forEach(instance => this.add(instance));
        left.forEach(instanceId => isAuthoritative ? this.remove(instanceId) : this.markAbsent(instanceId, nowMs));
    }

    /** Removes those that were missing for too long, and returns when that is next due. */
    removeExpired(nowMs: number): number | undefined {
        [...this.absentUntilMs].filter(([, untilMs]) => untilMs <= nowMs)
            .forEach(([instanceId]) => this.remove(instanceId));
        return this.absentUntilMs.size === 0 ? undefined : Math.min(...this.absentUntilMs.values());
    }

    /** The list, if it changed since the last call. */
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
        if (!sameInstance(this.instances.get(instanceId), instance)) {
            this.instances.set(instanceId, instance);
            this.changed = true;
        }
    }

    private remove(instanceId: string): void {
        this.absentUntilMs.delete(instanceId);
        this.changed = this.instances.delete(instanceId) || this.changed;
    }

    /** The first member that does not list an instance counts; a change of member does not keep it longer. */
    private markAbsent(instanceId: string, nowMs: number): void {
        if (this.instances.has(instanceId) && !this.absentUntilMs.has(instanceId)) {
            this.absentUntilMs.set(instanceId, nowMs + absenceLimitMs);
        }
    }
}
