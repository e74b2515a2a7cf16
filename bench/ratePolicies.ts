/** The proxy's policy for rates, and the baselines that it is compared with. */

export interface RatePolicy {
    readonly name: string;
    /** Whether the rate shares of data centres follow demand. */
    readonly sharesFollowDemand: boolean;
    /** Maximum time that a statement waits for a permit, given the waiting target of its class. */
    admissionWaitMs(targetMs: number): number;
}

export class ProductRates implements RatePolicy {
    readonly name = "product";
    readonly sharesFollowDemand = true;

    admissionWaitMs(targetMs: number): number {
        return targetMs;
    }
}

/** Every data centre has a fixed equal share of each rate. */
export class EqualSplit implements RatePolicy {
    readonly name = "equal split";
    readonly sharesFollowDemand = false;

    admissionWaitMs(targetMs: number): number {
        return targetMs;
    }
}

/** A statement is refused if the first permit request brings no permit for it. */
export class NoWaiting implements RatePolicy {
    readonly name = "no waiting";
    readonly sharesFollowDemand = true;

    // Enough for two round trips to the permit home within a data centre, when another request is already in flight.
    admissionWaitMs(): number {
        return 10;
    }
}

export const ratePolicies: readonly RatePolicy[] = [new ProductRates(), new EqualSplit(), new NoWaiting()];
