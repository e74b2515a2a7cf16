/** Messages about the division of a workspace's rate among data centres. */
import type { Message } from "../pipeline/message.ts";

export const RateKind = {
    /** Demand of one workspace in one data centre, at the control leader. */
    Demand: "rates.demand",
    /** Demands that the permit homes of this instance measured; sent to the control leader with the next heartbeat. */
    DemandMeasured: "rates.demand_measured",
    /** Timer of the permit home for the next measurement of demand. */
    MeasureDue: "rates.measure_due",
    /** Timer of a permit home that may not start yet. */
    TakeoverDue: "rates.takeover_due",
    /** Timer of the control leader for the next division of rates. */
    DivideDue: "rates.divide_due",
} as const;

/** Interval at which permit homes report demand and the leader recalculates shares. */
export const demandIntervalMs = 1_000;

/** Minimum interval of both while a data centre is undersupplied or has not confirmed a reduction. */
export const urgentDemandIntervalMs = 200;

export interface DemandBody {
    readonly workspace: string;
    readonly dataCentre: string;
    /** Statements per second that the data centre could use now. */
    readonly wantedPerSecond: number;
    /** Latest configuration version whose share alone bounds the permits of the home that may still be used. */
    readonly versionInForce: number;
}

export interface RatesDemand extends Message, DemandBody {
    readonly kind: typeof RateKind.Demand;
}

export interface RatesDemandMeasured extends Message {
    readonly kind: typeof RateKind.DemandMeasured;
    readonly demands: readonly DemandBody[];
}

export interface RatesTimer extends Message {
    readonly kind: typeof RateKind.MeasureDue | typeof RateKind.TakeoverDue | typeof RateKind.DivideDue;
}
