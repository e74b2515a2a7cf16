/** What the evacuations in force allow at a database, as this instance learnt of them. */
import type { DatabaseReport, PolicyApplied } from "../model/fleetMessages.ts";

/** Why a database is used less and less after its evacuation was ordered. */
export const EvacuationStage = {
    /** Not evacuated, or the primary, of which there is no other one yet. */
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

export class Evacuations {
    private readonly boundMs: number;
    /** Time at which this instance learnt of each evacuation in force; -Infinity if it was in force before. */
    private readonly learntMs = new Map<string, number>();
    private hasPolicy = false;

    /** @param boundMs time after the acknowledgement of an evacuation from which no statement may reach a database */
    constructor(boundMs: number) {
        this.boundMs = boundMs;
    }

    /** An instance that has just started, or comes back, does not know how long ago its first policy was ordered. */
    apply({ evacuated = none }: Pick<PolicyApplied, "evacuated">, nowMs: number): void {
        [...this.learntMs.keys()].filter(dataCentre => !evacuated.has(dataCentre))
            .forEach(dataCentre => this.learntMs.delete(dataCentre));
        for (const dataCentre of evacuated) {
            if (!this.learntMs.has(dataCentre)) {
                this.learntMs.set(dataCentre, this.hasPolicy ? nowMs : -Infinity);
            }
        }
        this.hasPolicy = true;
    }

    stageOf({ dataCentre, leads }: Pick<DatabaseReport, "dataCentre" | "leads">, nowMs: number): EvacuationStage {
        const learntMs = this.learntMs.get(dataCentre);
        if (learntMs === undefined || leads && nowMs < learntMs + primaryShare * this.boundMs) {
            return EvacuationStage.Open;
        }
        return nowMs < learntMs + transactionShare * this.boundMs
            ? EvacuationStage.TransactionsOnly
            : EvacuationStage.Closed;
    }

    /** Time of the next change of a stage; undefined if there is none without another order. */
    nextChangeMs(nowMs: number): number | undefined {
        const changes = [...this.learntMs.values()]
            .flatMap(learntMs => [primaryShare, transactionShare].map(share => learntMs + share * this.boundMs))
            .filter(atMs => atMs > nowMs);
        return changes.length === 0 ? undefined : Math.min(...changes);
    }
}
