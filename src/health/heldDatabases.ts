/** What the holder pipe reports of the databases that this instance holds, and what the leader asked about them. */
import type { DatabaseHealth, HeldReport, LeaseReference, PositionAsk } from "../model/healthMessages.ts";
import { ResourceKind } from "../model/lease.ts";
import { originPosition } from "../model/position.ts";

/** Failed probes in a row, each after an attempt on a fresh connection, after which a database counts as lost. */
export const failuresUntilLost = 3;

interface Ask {
    readonly askId: string;
    readonly askedAtMs: number;
}

export class HeldDatabases {
    private readonly health = new Map<string, DatabaseHealth>();
    private readonly asks = new Map<string, Ask>();
    private readonly answered = new Map<string, string>();

    /** Takes a probe result; true when the leader should learn of it at once. */
    recordHealth(health: DatabaseHealth): boolean {
        const before = this.health.get(health.databaseId);
        this.health.set(health.databaseId, health);
        return this.answers(health) || isUrgent(before, health);
    }

    /** Takes the leader's questions; only positions read after their arrival answer them. */
    recordAsks(asks: readonly PositionAsk[], nowMs: number): void {
        for (const { databaseId, askId } of asks) {
            if (this.asks.get(databaseId)?.askId !== askId) {
                this.asks.set(databaseId, { askId, askedAtMs: nowMs });
            }
        }
    }

    /** Reports of the databases among `leases`, about 1.4 per instance, and forgets all others. */
    reports(leases: readonly LeaseReference[]): HeldReport[] {
        const ids = new Set(leases.filter(isDatabase).map(lease => lease.resourceId));
        [this.health, this.asks, this.answered].forEach(map => dropOthers(map, ids));
        return [...this.health.values()].map(health => ({
            databaseId: health.databaseId,
            reachable: health.reachable,
            consecutiveFailures: health.consecutiveFailures,
            position: health.lastPosition ?? originPosition,
            askId: this.answered.get(health.databaseId) ?? "",
        }));
    }

    private answers(health: DatabaseHealth): boolean {
        const ask = this.asks.get(health.databaseId);
        // A read that had begun before the question arrived may miss what was written before the lease ended.
        const readAfter = ask !== undefined && health.reachable && health.lastPositionAtMs >= ask.askedAtMs;
        if (!readAfter || this.answered.get(health.databaseId) === ask.askId) {
            return false;
        }
        this.answered.set(health.databaseId, ask.askId);
        return true;
    }
}

function isUrgent(before: DatabaseHealth | undefined, after: DatabaseHealth): boolean {
    const failuresBefore = before?.consecutiveFailures ?? 0;
    return [1, failuresUntilLost].some(bound => failuresBefore < bound && after.consecutiveFailures >= bound);
}

function isDatabase(lease: LeaseReference): boolean {
    return lease.resource === ResourceKind.Database;
}

function dropOthers(map: Map<string, unknown>, kept: ReadonlySet<string>): void {
    for (const key of map.keys()) {
        if (!kept.has(key)) {
            map.delete(key);
        }
    }
}
