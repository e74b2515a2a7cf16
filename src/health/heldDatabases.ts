/** Probe results of the databases that this instance holds, and the leader's requests for their positions. */
import type { DatabaseHealth, HeldReport, LeaseReference, PositionAsk } from "../model/healthMessages.ts";
import { ResourceKind } from "../model/lease.ts";
import { originPosition } from "../model/position.ts";

/** Consecutive failed probes, each including an attempt on a new connection, after which a database counts as lost. */
export const failuresUntilLost = 3;

interface ReceivedAsk {
    readonly askId: string;
    readonly receivedAtMs: number;
}

export class HeldDatabases {
    private readonly latestHealth = new Map<string, DatabaseHealth>();
    private readonly asks = new Map<string, ReceivedAsk>();
    private readonly answeredAskIds = new Map<string, string>();

    /** Records a probe result. Returns whether the leader should learn of it at once. */
    recordHealth(health: DatabaseHealth): boolean {
        const before = this.latestHealth.get(health.databaseId);
        this.latestHealth.set(health.databaseId, health);
        return this.recordAnswer(health) || reachesFailureThreshold(before, health);
    }

    /** Records the leader's position requests. Only a position that is read after a request arrived answers it. */
    recordAsks(asks: readonly PositionAsk[], nowMs: number): void {
        for (const { databaseId, askId } of asks) {
            if (this.asks.get(databaseId)?.askId !== askId) {
                this.asks.set(databaseId, { askId, receivedAtMs: nowMs });
            }
        }
    }

    /** Reports of the databases in `leases`, about 1.4 per instance. Drops the state of all other databases. */
    reports(leases: readonly LeaseReference[]): HeldReport[] {
        const ids = new Set(leases.filter(isDatabase).map(lease => lease.resourceId));
        [this.latestHealth, this.asks, this.answeredAskIds].forEach(map => retainKeys(map, ids));
        return [...this.latestHealth.values()].map(health => ({
            databaseId: health.databaseId,
            reachable: health.reachable,
            consecutiveFailures: health.consecutiveFailures,
            position: health.lastPosition ?? originPosition,
            askId: this.answeredAskIds.get(health.databaseId) ?? "",
        }));
    }

    private recordAnswer(health: DatabaseHealth): boolean {
        const ask = this.asks.get(health.databaseId);
        // A read that began before the request arrived may miss writes from before the old lease ended.
        const isReadAfterAsk = ask !== undefined && health.reachable && health.lastPositionAtMs >= ask.receivedAtMs;
        if (!isReadAfterAsk || this.answeredAskIds.get(health.databaseId) === ask.askId) {
            return false;
        }
        this.answeredAskIds.set(health.databaseId, ask.askId);
        return true;
    }
}

function reachesFailureThreshold(before: DatabaseHealth | undefined, after: DatabaseHealth): boolean {
    const failuresBefore = before?.consecutiveFailures ?? 0;
    return [1, failuresUntilLost].some(threshold =>
        failuresBefore < threshold && after.consecutiveFailures >= threshold
    );
}

function isDatabase(lease: LeaseReference): boolean {
    return lease.resource === ResourceKind.Database;
}

function retainKeys(map: Map<string, unknown>, kept: ReadonlySet<string>): void {
    for (const key of map.keys()) {
        if (!kept.has(key)) {
            map.delete(key);
        }
    }
}
