/** Prefers databases in the home regions of their service's routes, among those that qualify as primary. */
import type { TrafficPolicy } from "../model/trafficPolicy.ts";

/**
 * Returns the share of a service's routes that a primary in a region could serve, 0 to 1. Routes without home regions are
 * not counted, because any primary serves them.
 * @param region undefined if it is unknown
 */
export function homeShare({ routesByDatabase }: TrafficPolicy, service: string, region: string | undefined): number {
    const bound = [...routesByDatabase.values()]
        .filter(route => route.service === service && (route.homeRegions?.length ?? 0) > 0);
    const served = bound.filter(({ homeRegions }) => region !== undefined && homeRegions!.includes(region));
    return bound.length === 0 ? 0 : served.length / bound.length;
}
