/** Messages about the division of a workspace's rate between data centres. */
import type { Message } from "../pipeline/message.ts";

export const RateKind = {
    /** Demand of one workspace in one data centre, at the control leader. */
    Demand: "rates.demand",
    /** Demands that a permit home measured; taken by the sender of heartbeats, which carries them to the leader. */
    DemandMeasured: "rates.demand_measured",
    /** Timer of the permit home. */
    MeasureDue: "rates.measure_due",
    /** Timer of a permit home that may not begin yet. */
    TakeoverDue: "rates.takeover_due",
    /** Timer of the control leader. */
    DivideDue: "rates.divide_due",
} as const;

/** Interval at which permit homes report demand and the leader reconsiders shares. */
export const demandIntervalMs = 1_000;

/** Shortest interval of both while a data centre is short or a reduction is to be confirmed. */
export const urgentDemandIntervalMs = 200;

export interface DemandBody {
    readonly workspace: string;
    readonly dataCentre: string;
    /** Statements per second that the data centre could use now. */
    readonly wantedPerSecond: number;
    /** Latest configuration version whose share alone bounds what the home's permits still allow. */
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
