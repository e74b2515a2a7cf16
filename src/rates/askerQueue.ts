/** Turns between entry instances that ask for more permits than there are. */

interface Asker {
    unmet: number;
    askedMs: number;
}

/** Time after which an instance that did not ask again has lost its turn: it stopped, or its work has ended. */
const forgetAfterMs = 500;

/**
 * Instances whose last question was answered short, in the order of their turns. An instance that got something goes
 * to the end of the line, one that got nothing keeps its place.
 */
export class AskerQueue {
    private readonly askers = new Map<string, Asker>();

    /** Permits that all instances still want. */
    unmet(nowMs: number): number {
        this.forget(nowMs);
        return [...this.askers.values()].reduce((sum, asker) => sum + asker.unmet, 0);
    }

    /** Part of `available` whole permits that `instanceId` may have now when it wants `wanted`. */
    allot(instanceId: string, wanted: number, available: number, nowMs: number): number {
        this.forget(nowMs);
        const others = [...this.askers].filter(([id]) => id !== instanceId);
        const othersWant = others.reduce((sum, [, asker]) => sum + asker.unmet, 0);
        if (wanted + othersWant <= available) {
            return wanted;
        }
        const quantum = Math.max(1, Math.floor(available / (others.length + 1)));
        const left = Math.max(0, available - this.reservedAhead(instanceId, quantum));
        return Math.min(wanted, left, others.length === 0 ? left : quantum);
    }

    /** Permits that instances with an earlier turn are due. */
    reservedAhead(instanceId: string, quantum: number): number {
        let reserved = 0;
        for (const [id, asker] of this.askers) {
            if (id === instanceId) {
                break;
            }
            reserved += Math.min(asker.unmet, quantum);
        }
        return reserved;
    }

    /** Records what `instanceId` got of what it wanted. */
    record(instanceId: string, wanted: number, granted: number, nowMs: number): void {
        const unmet = wanted - granted;
        if (unmet === 0 || granted > 0) {
            this.askers.delete(instanceId);
        }
        if (unmet > 0) {
            this.askers.set(instanceId, { unmet, askedMs: nowMs });
        }
    }

    private forget(nowMs: number): void {
        for (const [id, asker] of this.askers) {
            if (asker.askedMs + forgetAfterMs <= nowMs) {
                this.askers.delete(id);
            }
        }
    }
}
