/** The evacuations in force, as this control member learnt of them. */
import type { DatabaseReport, PolicyApplied } from "../model/fleetMessages.ts";

/**
 * Share of the bound for which a primary is not replaced, so that transactions which are open when the order comes can
 * end. The rest is enough for a promotion and for instances that learn of it late.
 */
const transactionShare = 0.1;

const none: ReadonlySet<string> = new Set();

export class KnownEvacuations {
    /** Time that transactions at a primary have before it is replaced. */
    readonly transactionTimeMs: number;
    /** Time at which this member learnt of each evacuation; -Infinity if it was in force before. */
    private readonly learntMs = new Map<string, number>();
    private hasPolicy = false;

    /** @param boundMs time after the acknowledgement of an evacuation from which no statement may reach a database */
    constructor(boundMs: number) {
        this.transactionTimeMs = transactionShare * boundMs;
    }

    /** @returns whether an evacuation began */
    apply({ evacuated = none }: Pick<PolicyApplied, "evacuated">, nowMs: number): boolean {
        [...this.learntMs.keys()].filter(dataCentre => !evacuated.has(dataCentre))
            .forEach(dataCentre => this.learntMs.delete(dataCentre));
        const begun = [...evacuated].filter(dataCentre => !this.learntMs.has(dataCentre));
        begun.forEach(dataCentre => this.learntMs.set(dataCentre, this.hasPolicy ? nowMs : -Infinity));
        this.hasPolicy = true;
        return begun.length > 0;
    }

    covers({ dataCentre }: Pick<DatabaseReport, "dataCentre">): boolean {
        return this.learntMs.has(dataCentre);
    }

    /** Whether a primary is to be replaced now. */
    isDue({ dataCentre }: Pick<DatabaseReport, "dataCentre">, nowMs: number): boolean {
        return nowMs >= (this.learntMs.get(dataCentre) ?? Infinity) + this.transactionTimeMs;
    }
}
