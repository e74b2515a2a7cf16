/** Parameters of rate limiting that the control leader and the instances that admit operations share. */

/** Tolerated excess of a workspace's operations in any window over its rate and burst. */
export interface RateTolerance {
    readonly windowMs: number;
    /** Fraction of rate x window + burst. */
    readonly share: number;
    /** Operations that are tolerated in addition to that fraction. */
    readonly operations: number;
}

/**
 * Validity of a permit, counted from the sending of the request for it. Covers several round trips and a pause of a
 * process.
 */
export const leaderPermitValidityMs = 1_000;

/**
 * Maximum time for which an instance admits operations at its fallback rate, counted from the leader's last answer.
 * Equal to the lease time of permit homes.
 */
export const fallbackLimitMs = 10_000;

/**
 * Time constant of the decaying demand from which fallback shares are derived. A small workspace may run only one
 * operation in many seconds.
 */
export const demandTimeConstantMs = 20_000;

/** Operations by which the count in one window may exceed rate x window + burst. */
export function toleratedOperations(tolerance: RateTolerance, ratePerSecond: number, burst: number): number {
    return tolerance.share * (ratePerSecond * tolerance.windowMs / 1_000 + burst) + tolerance.operations;
}
