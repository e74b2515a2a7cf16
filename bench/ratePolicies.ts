/** The product's policy for rates and the baselines it is compared with. */

export interface RatePolicy {
    readonly name: string;
    /** Shares of data centres follow demand. */
    readonly sharesFollowDemand: boolean;
    /** Time for which a statement may wait for a permit, given the waiting target of its class. */
    admissionWaitMs(targetMs: number): number;
}

export class ProductRates implements RatePolicy {
    readonly name = "product";
    readonly sharesFollowDemand = true;

    admissionWaitMs(targetMs: number): number {
        return targetMs;
    }
}

/** Every data centre keeps an equal part of each rate. */
export class EqualSplit implements RatePolicy {
    readonly name = "equal split";
    readonly sharesFollowDemand = false;

    admissionWaitMs(targetMs: number): number {
        return targetMs;
    }
}

/** A statement is refused when the answer to the first question brings no permit. */
export class NoWaiting implements RatePolicy {
    readonly name = "no waiting";
    readonly sharesFollowDemand = true;

    // Enough for two round trips to the permit home within a data centre, one of them behind another question.
    admissionWaitMs(): number {
        return 10;
    }
}

export const ratePolicies: readonly RatePolicy[] = [new ProductRates(), new EqualSplit(), new NoWaiting()];
