/** Fair allocation of scarce permits to the entry instances that request them. */

interface Requester {
    unmet: number;
    requestedAtMs: number;
    /** Permits received since the first partial grant; starts at the minimum that another requester has received. */
    received: number;
}

/** Time without a request after which an instance loses its claim: it has stopped, or its work has ended. */
const requesterTimeoutMs = 500;

/**
 * Tracks the instances whose last request was granted only in part. While there are several, what an instance has
 * received beyond the least served one is deducted from its next grant, so that neither a low latency to the permit
 * home nor frequent requests are an advantage.
 */
export class FairAllocator {
    private readonly requesters = new Map<string, Requester>();

    /** Sum of the permits that the last requests of all instances did not get. */
    unmetPermits(nowMs: number): number {
        this.removeExpired(nowMs);
        return [...this.requesters.values()].reduce((sum, requester) => sum + requester.unmet, 0);
    }

    get requesterCount(): number {
        return this.requesters.size;
    }

    /** Number of the `available` whole permits to grant to `instanceId` now, at most `wanted`. */
    allocate(instanceId: string, wanted: number, available: number, nowMs: number): number {
        this.removeExpired(nowMs);
        const others = this.others(instanceId);
        const othersUnmet = others.reduce((sum, requester) => sum + requester.unmet, 0);
        if (wanted + othersUnmet <= available || others.length === 0) {
            return Math.min(wanted, available);
        }
        const lead = (this.requesters.get(instanceId)?.received ?? minimumReceived(others)) - minimumReceived(others);
        const quantum = Math.max(1, Math.floor(available / (others.length + 1)));
        return Math.max(0, Math.min(wanted, available, quantum - lead));
    }

    recordGrant(instanceId: string, wanted: number, granted: number, nowMs: number): void {
        const unmet = wanted - granted;
        const receivedBefore = this.requesters.get(instanceId)?.received ?? minimumReceived(this.others(instanceId));
        if (unmet > 0) {
            this.requesters.set(instanceId, { unmet, requestedAtMs: nowMs, received: receivedBefore + granted });
        }
        else {
            this.requesters.delete(instanceId);
        }
    }

    private others(instanceId: string): readonly Requester[] {
        return [...this.requesters].filter(([id]) => id !== instanceId).map(([, requester]) => requester);
    }

    private removeExpired(nowMs: number): void {
        for (const [id, requester] of this.requesters) {
            if (requester.requestedAtMs + requesterTimeoutMs <= nowMs) {
                this.requesters.delete(id);
            }
        }
    }
}

function minimumReceived(requesters: readonly Requester[]): number {
    return requesters.length === 0 ? 0 : Math.min(...requesters.map(requester => requester.received));
}
