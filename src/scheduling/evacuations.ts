/** What the evacuations in force allow at a database, as this instance learnt of them. */
import { EvacuationTimes } from "../model/evacuationTimes.ts";
import type { DatabaseReport, PolicyApplied } from "../model/fleetMessages.ts";

/** How a database in an evacuated data centre is used less and less. */
export const EvacuationStage = {
    /** Not evacuated, or a primary for which there may be no other one yet. */
    Open: "open",
    /** No new work, but open transactions go on. */
    TransactionsOnly: "transactions_only",
    Closed: "closed",
} as const;
export type EvacuationStage = typeof EvacuationStage[keyof typeof EvacuationStage];

/**
 * Shares of the bound that a primary has to be replaced, and open transactions to end. They count from the time at which this
 * instance learns of the evacuation, which is usually some 10 ms after its acknowledgement; the rest of the bound is for a
 * late one, and for statements that run when the time is over.
 */
const primaryShare = 0.4;
const transactionShare = 0.6;

const none: ReadonlySet<string> = new Set();

/** Time after the acknowledgement of an evacuation from which MySQL databases get no statement. */
export const mysqlEvacuationBoundMs = 5_000;

export class Evacuations {
    private readonly boundMs: number;
    private readonly times = new EvacuationTimes();

    /** @param boundMs time after the acknowledgement of an evacuation from which no statement may reach a database */
    constructor(boundMs: number) {
        this.boundMs = boundMs;
    }

    /** An instance that has just started does not know when its evacuations were ordered, and gives them no more time. */
    apply({ evacuated = none }: Pick<PolicyApplied, "evacuated">, nowMs: number): void {
        this.times.apply(evacuated, nowMs);
    }

    stageOf({ dataCentre, leads }: Pick<DatabaseReport, "dataCentre" | "leads">, nowMs: number): EvacuationStage {
        const learntAtMs = this.times.learntAtMs(dataCentre);
        if (learntAtMs === undefined || leads && nowMs < learntAtMs + primaryShare * this.boundMs) {
            return EvacuationStage.Open;
        }
        return nowMs < learntAtMs + transactionShare * this.boundMs
            ? EvacuationStage.TransactionsOnly
            : EvacuationStage.Closed;
    }

    /** Time of the next change of a stage; undefined if there is none without another order. */
    nextChangeMs(nowMs: number): number | undefined {
        const changes = this.times.all()
            .flatMap(learntAtMs => [primaryShare, transactionShare].map(share => learntAtMs + share * this.boundMs))
            .filter(atMs => atMs > nowMs);
        return changes.length === 0 ? undefined : Math.min(...changes);
    }
}
