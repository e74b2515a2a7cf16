/** How many statements may reach a database that is cold, because it has started or got no work for a while. */
import type { ServicePolicy } from "./trafficPolicy.ts";

/** Window in which statements are counted. */
export const coldWindowMs = 1_000;

/** Time from the sending of a request to the control leader in which the tasks that it grants may be sent. */
export const coldGrantValidityMs = 300;

export interface ColdTolerance {
    /** Factor by which the rate may be exceeded. */
    readonly excess: number;
    /** Statements tolerated beyond that. */
    readonly statements: number;
}

/** Statements that may reach a cold database of a service in any window; undefined if there is no limit. */
export function coldLimit(
    policy: ServicePolicy | undefined,
    { excess, statements }: ColdTolerance,
): number | undefined {
    const ratePerSecond = policy?.coldPerSecond ?? 0;
    return ratePerSecond > 0 ? Math.floor(ratePerSecond * excess + statements) : undefined;
}
