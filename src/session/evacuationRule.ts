/** Keeps new work away from the databases of evacuated data centres. */
import type { DatabaseReport, PolicyApplied } from "../model/fleetMessages.ts";
import { Evacuations, EvacuationStage } from "../scheduling/evacuations.ts";
import { type PassedOver, PassOverReason, type PlacementDemand, type PlacementRule } from "./placementRule.ts";

/**
 * A primary may be used for part of the bound while another one is promoted. After that, what only it can run is refused;
 * nobody knows when it can run again, so callers are told to come back after a whole bound.
 */
export class EvacuationRule implements PlacementRule {
    private readonly evacuations: Evacuations;
    private readonly boundMs: number;

    /** @param boundMs time after the acknowledgement of an evacuation from which no statement may reach a database */
    constructor(boundMs: number) {
        this.boundMs = boundMs;
        this.evacuations = new Evacuations(boundMs);
    }

    applyPolicy(policy: PolicyApplied, nowMs: number): void {
        this.evacuations.apply(policy, nowMs);
    }

    check(database: DatabaseReport, _demand: PlacementDemand, nowMs: number): PassedOver | undefined {
        return this.checkProbe(database, nowMs);
    }

    checkProbe(database: DatabaseReport, nowMs: number): PassedOver | undefined {
        return this.evacuations.stageOf(database, nowMs) === EvacuationStage.Open
            ? undefined
            : { reason: PassOverReason.Evacuated, retryAfterMs: this.boundMs };
    }

    recordPlaced(): void {
        // An evacuation does not depend on the work that was placed.
    }
}
