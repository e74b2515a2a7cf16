/** Fair parts for entry instances that ask for more permits than there are. */

interface Asker {
    unmet: number;
    askedMs: number;
    /** Permits received since it was first answered short; starts at the least that another has received. */
    received: number;
}

/** Time after which an instance that did not ask again gives up its part: it stopped, or its work has ended. */
const forgetAfterMs = 500;

/**
 * Instances whose last question was answered short. While there are several, one that is ahead of the one that has
 * received least gets nothing more, so that an instance which is near or asks often has no advantage.
 */
export class FairAllocator {
    private readonly askers = new Map<string, Asker>();

    /** Permits that all instances still want. */
    unmetPermits(nowMs: number): number {
        this.forget(nowMs);
        return [...this.askers.values()].reduce((sum, asker) => sum + asker.unmet, 0);
    }

    get requesterCount(): number {
        return this.askers.size;
    }

    /** Part of `available` whole permits that `instanceId` may have now when it wants `wanted`. */
    allocate(instanceId: string, wanted: number, available: number, nowMs: number): number {
        this.forget(nowMs);
        const others = this.others(instanceId);
        const othersWant = others.reduce((sum, asker) => sum + asker.unmet, 0);
        if (wanted + othersWant <= available || others.length === 0) {
            return Math.min(wanted, available);
        }
        const lead = (this.askers.get(instanceId)?.received ?? leastReceived(others)) - leastReceived(others);
        const quantum = Math.max(1, Math.floor(available / (others.length + 1)));
        return Math.max(0, Math.min(wanted, available, quantum - lead));
    }

    /** Records what `instanceId` got of what it wanted. */
    recordGrant(instanceId: string, wanted: number, granted: number, nowMs: number): void {
        const unmet = wanted - granted;
        const before = this.askers.get(instanceId)?.received ?? leastReceived(this.others(instanceId));
        if (unmet > 0) {
            this.askers.set(instanceId, { unmet, askedMs: nowMs, received: before + granted });
        }
        else {
            this.askers.delete(instanceId);
        }
    }

    private others(instanceId: string): readonly Asker[] {
        return [...this.askers].filter(([id]) => id !== instanceId).map(([, asker]) => asker);
    }

    private forget(nowMs: number): void {
        for (const [id, asker] of this.askers) {
            if (asker.askedMs + forgetAfterMs <= nowMs) {
                this.askers.delete(id);
            }
        }
    }
}

function leastReceived(askers: readonly Asker[]): number {
    return askers.length === 0 ? 0 : Math.min(...askers.map(asker => asker.received));
}
