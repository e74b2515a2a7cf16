/** What the leader of the rates and the instances that admit operations agree on. */

/** What the count of a workspace's operations in any window tolerates beyond its rate and burst. */
export interface RateTolerance {
    readonly windowMs: number;
    /** Part of rate x window + burst. */
    readonly share: number;
    /** Operations, added to that part. */
    readonly operations: number;
}

/** Time for which a permit may be used, from the question that it answers; several round trips and a pause of a process. */
export const leaderPermitValidityMs = 1_000;

/** Time for which an instance admits operations at its fallback rate, from its last answer; as permit homes do. */
export const fallbackLimitMs = 10_000;

/** Time constant of the demand that fallback shares follow; a small workspace has one operation in many seconds. */
export const demandTimeConstantMs = 20_000;

/** Operations by which a count in one window may exceed rate x window + burst. */
export function toleratedOperations(tolerance: RateTolerance, ratePerSecond: number, burst: number): number {
    return tolerance.share * (ratePerSecond * tolerance.windowMs / 1_000 + burst) + tolerance.operations;
}
