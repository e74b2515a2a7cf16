/**
 * Keeps tasks from cold databases that would get more than they bear. This instance's share is an estimate that spares tasks
 * the way to a holder that would refuse them; the bound itself is kept by `ColdGate` there.
 */
import { match } from "ts-pattern";
import { coldLimit, type ColdTolerance } from "../model/coldLimits.ts";
import {
    type DatabaseChanged,
    type DatabaseRemoved,
    type DatabaseReport,
    FleetKind,
    type PolicyApplied,
} from "../model/fleetMessages.ts";
import { type InstancesKnown, PeerKind } from "../model/peerMessages.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { ColdDatabases } from "./coldDatabases.ts";
import { type PassedOver, PassOverReason, type PlacementDemand, type PlacementRule } from "./placementRule.ts";

/** Factor by which an instance may exceed an equal share, because callers are spread unevenly over the instances. */
const shareFactor = 8;

/** Time that callers are told to wait for a database that may get nothing. */
const closedRetryMs = 5_000;

type RuleInput = PolicyApplied | DatabaseChanged | DatabaseRemoved | InstancesKnown;

export class ColdRule implements PlacementRule, Filter<RuleInput, Message> {
    readonly step = "cold_rule";
    readonly accepts = [
        FleetKind.PolicyApplied,
        FleetKind.DatabaseChanged,
        FleetKind.DatabaseRemoved,
        PeerKind.InstancesKnown,
    ];
    private readonly tolerance: ColdTolerance;
    private readonly databases = new ColdDatabases();
    private instanceCount = 1;
    /** Time from which the next task may be placed, by database. */
    private readonly nextPlacementMs = new Map<string, number>();

    constructor({ tolerance }: { readonly tolerance: ColdTolerance; }) {
        this.tolerance = tolerance;
    }

    process(message: RuleInput, nowMs: number): readonly Message[] {
        match<RuleInput>(message)
            .with({ kind: FleetKind.PolicyApplied }, matched => this.databases.applyPolicy(matched, nowMs))
            .with({ kind: FleetKind.DatabaseChanged }, ({ report }) => this.databases.applyReport(report, nowMs))
            .with({ kind: FleetKind.DatabaseRemoved }, ({ databaseId }) => {
                this.databases.remove(databaseId);
                this.nextPlacementMs.delete(databaseId);
            })
            .with({ kind: PeerKind.InstancesKnown }, ({ instances }) => {
                this.instanceCount = Math.max(1, instances.length);
            })
            .exhaustive();
        return [message];
    }

    check({ databaseId }: DatabaseReport, _demand: PlacementDemand, nowMs: number): PassedOver | undefined {
        const intervalMs = this.intervalMs(databaseId, nowMs);
        if (intervalMs === undefined) {
            return undefined;
        }
        const waitMs = (this.nextPlacementMs.get(databaseId) ?? -Infinity) - nowMs;
        return Number.isFinite(intervalMs) && waitMs <= 0
            ? undefined
            : { reason: PassOverReason.Cold, retryAfterMs: Number.isFinite(intervalMs) ? waitMs : closedRetryMs };
    }

    recordPlaced({ databaseId }: DatabaseReport, nowMs: number): void {
        const intervalMs = this.intervalMs(databaseId, nowMs);
        if (intervalMs !== undefined) {
            this.nextPlacementMs.set(databaseId, nowMs + intervalMs);
        }
    }

    /** Interval between two tasks of this instance; undefined if there is no limit. */
    private intervalMs(databaseId: string, nowMs: number): number | undefined {
        const limit = coldLimit(this.databases.limitingPolicy(databaseId, nowMs), this.tolerance);
        return limit === undefined ? undefined : 1_000 / (limit * Math.min(1, shareFactor / this.instanceCount));
    }
}
