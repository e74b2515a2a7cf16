/** Keeps tasks with home regions at the databases and instances of these regions. */
import type { DatabaseReport } from "../model/fleetMessages.ts";
import { type PassedOver, PassOverReason, type PlacementDemand, type PlacementRule } from "./placementRule.ts";

/**
 * Time that callers are told to wait: only another configuration or a database that starts at home can help. Longer than
 * that of any other objection.
 */
const homelessRetryMs = 10_000;

export class HomeRule implements PlacementRule {
    private readonly regions: ReadonlyMap<string, string>;

    /** @param regions region of each data centre; one without a region is nowhere at home */
    constructor(regions: ReadonlyMap<string, string>) {
        this.regions = regions;
    }

    check({ dataCentre }: DatabaseReport, { homeRegions }: PlacementDemand): PassedOver | undefined {
        return this.isAtHome(dataCentre, homeRegions)
            ? undefined
            : { reason: PassOverReason.OutsideHome, retryAfterMs: homelessRetryMs };
    }

    recordPlaced(): void {
        // The rule has no limit that a task could use up.
    }

    /** @param homeRegions undefined if all regions are allowed */
    isAtHome(dataCentre: string, homeRegions: readonly string[] | undefined): boolean {
        const region = this.regions.get(dataCentre);
        return homeRegions === undefined || region !== undefined && homeRegions.includes(region);
    }
}
