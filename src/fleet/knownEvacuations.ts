/** The evacuations in force, as this control member learnt of them. */
import { EvacuationTimes } from "../model/evacuationTimes.ts";
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
    private readonly times = new EvacuationTimes();

    /** @param boundMs time after the acknowledgement of an evacuation from which no statement may reach a database */
    constructor(boundMs: number) {
        this.transactionTimeMs = transactionShare * boundMs;
    }

    /** @returns whether an evacuation began */
    apply({ evacuated = none }: Pick<PolicyApplied, "evacuated">, nowMs: number): boolean {
        return this.times.apply(evacuated, nowMs);
    }

    covers({ dataCentre }: Pick<DatabaseReport, "dataCentre">): boolean {
        return this.times.learntAtMs(dataCentre) !== undefined;
    }

    /** Whether a primary is to be replaced now. */
    isDue({ dataCentre }: Pick<DatabaseReport, "dataCentre">, nowMs: number): boolean {
        return nowMs >= (this.times.learntAtMs(dataCentre) ?? Infinity) + this.transactionTimeMs;
    }
}
