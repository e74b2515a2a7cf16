/** Rules of the policy that a placement has to keep, whatever the load. */
import type { DatabaseReport, PolicyApplied } from "../model/fleetMessages.ts";
import type { RoutePolicy } from "../model/trafficPolicy.ts";

/** Why a database gets no task. */
export const PassOverReason = {
    /** The database departs. */
    Draining: "draining",
    /** It could not be reached or did not answer, and is in backoff. */
    Unreachable: "unreachable",
    /** It has not applied the log position that the read needs. */
    Lagging: "lagging",
    /** An operator has ordered that its data centre gets no more work. */
    Evacuated: "evacuated",
    /** It is outside of the home regions of the route or of the workspace. */
    OutsideHome: "outside_home",
    /** It was started recently, and gets no more than it can bear. */
    Cold: "cold",
} as const;
export type PassOverReason = typeof PassOverReason[keyof typeof PassOverReason];

export interface PassedOver {
    readonly reason: PassOverReason;
    /** Time after which the database may get the task; what callers are told. */
    readonly retryAfterMs: number;
}

/** The part of a task on which rules depend. */
export interface PlacementDemand {
    readonly route: RoutePolicy;
    /** Empty for callers of open routes without a key. */
    readonly workspace: string;
    /** Regions whose databases may run the task; undefined if all may. */
    readonly homeRegions?: readonly string[];
}

export interface PlacementRule {
    /** Returns why a database must not get a task; undefined if it may. */
    check(database: DatabaseReport, demand: PlacementDemand, nowMs: number): PassedOver | undefined;
    /** Returns why a database must not be asked for its log position. */
    checkProbe?(database: DatabaseReport, nowMs: number): PassedOver | undefined;
    /** Called with each policy, before the tasks that it concerns are placed again. */
    applyPolicy?(policy: PolicyApplied, nowMs: number): void;
    /** Called once for each task that is sent to a database. */
    recordPlaced(database: DatabaseReport, nowMs: number): void;
}

/** All rules of an instance together. */
export class PlacementRules {
    private readonly rules: readonly PlacementRule[];

    constructor(rules: readonly PlacementRule[]) {
        this.rules = rules;
    }

    /** Returns the first objection of any rule. */
    check(database: DatabaseReport, demand: PlacementDemand, nowMs: number): PassedOver | undefined {
        for (const rule of this.rules) {
            const passedOver = rule.check(database, demand, nowMs);
            if (passedOver !== undefined) {
                return passedOver;
            }
        }
        return undefined;
    }

    /** Returns the objection that ends first if the rules keep a task from all databases; undefined without databases. */
    checkAll(databases: readonly DatabaseReport[], demand: PlacementDemand, nowMs: number): PassedOver | undefined {
        const objections = databases.map(database => this.check(database, demand, nowMs));
        return objections.every(objection => objection !== undefined) ? soonest(objections) : undefined;
    }

    mayProbe(database: DatabaseReport, nowMs: number): boolean {
        return this.rules.every(rule => rule.checkProbe?.(database, nowMs) === undefined);
    }

    applyPolicy(policy: PolicyApplied, nowMs: number): void {
        this.rules.forEach(rule => rule.applyPolicy?.(policy, nowMs));
    }

    recordPlaced(database: DatabaseReport, nowMs: number): void {
        this.rules.forEach(rule => rule.recordPlaced(database, nowMs));
    }
}

/** Returns the objection that ends first. */
export function soonest(objections: readonly PassedOver[]): PassedOver | undefined {
    return objections.reduce<PassedOver | undefined>(
        (left, right) => left === undefined || right.retryAfterMs < left.retryAfterMs ? right : left,
        undefined,
    );
}
