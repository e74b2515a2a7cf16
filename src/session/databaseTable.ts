/** The databases of each service as this instance sees them, and how well each one answers. */
import { type DatabaseReport, ReportedState } from "../model/fleetMessages.ts";
import { PrimaryTracker } from "./primaryTracker.ts";

/** Weight of the newest answer in the average latency. */
const latencyWeight = 0.2;

/** Assumed before the first answer; near the work of a small statement. */
const initialLatencyMs = 25;

/**
 * Added for a database in another data centre: the price of bytes between data centres is worth about this much time
 * to a caller whose aim is some hundred milliseconds.
 */
const distancePenaltyMs = 25;

/** First pause after a failure of a database; doubles up to the maximum with each further one. */
const firstPauseMs = 100;
const maximumPauseMs = 2_000;

interface DatabaseEntry {
    report: DatabaseReport;
    latencyMs: number;
    inFlight: number;
    failures: number;
    pausedUntilMs: number;
    /** Floors beyond this were refused as lagging lately; the database gets no reads until then. */
    laggingUntilMs: number;
}

export class DatabaseTable {
    private readonly copies = new Map<string, DatabaseEntry>();
    private readonly beliefs = new Map<string, PrimaryTracker>();
    private readonly dataCentre: string;

    constructor(dataCentre: string) {
        this.dataCentre = dataCentre;
    }

    /** Applies a report that is newer than the known one. */
    applyReport(report: DatabaseReport): void {
        const known = this.copies.get(report.databaseId);
        const belief = this.beliefOf(report.service);
        const reborn = known !== undefined && known.report.bornUnixMs !== report.bornUnixMs;
        if (report.leads && (known?.report.leads !== true || reborn)) {
            belief.addClaim(report.databaseId);
        }
        else if (!report.leads && known?.report.leads !== false) {
            belief.removeClaim(report.databaseId);
        }
        if (known === undefined || reborn || known.report.address !== report.address) {
            this.copies.set(report.databaseId, newCopy(report));
        }
        else {
            known.report = report;
        }
    }

    remove(databaseId: string): void {
        const copy = this.copies.get(databaseId);
        if (copy !== undefined) {
            this.beliefOf(copy.report.service).removeClaim(databaseId);
            this.copies.delete(databaseId);
        }
    }

    recordPromotion(service: string, databaseId: string): void {
        this.beliefOf(service).addClaim(databaseId);
    }

    report(databaseId: string): DatabaseReport | undefined {
        return this.copies.get(databaseId)?.report;
    }

    hasService(service: string): boolean {
        return [...this.copies.values()].some(copy => copy.report.service === service);
    }

    /** The database that is taken to lead, unless it is paused after a failure. */
    primary(service: string, nowMs: number): string | undefined {
        const databaseId = this.beliefOf(service).currentPrimary(known => this.copies.has(known), nowMs);
        const copy = databaseId === undefined ? undefined : this.copies.get(databaseId);
        return copy !== undefined && copy.pausedUntilMs <= nowMs ? databaseId : undefined;
    }

    /** The copies for a read, best first; the ones in `tried` only when there is no other. */
    readCandidates(service: string, tried: ReadonlySet<string>, nowMs: number): readonly string[] {
        const usable = [...this.copies.values()].filter(({ report, pausedUntilMs, laggingUntilMs }) =>
            report.service === service && report.state === ReportedState.Ready
            && pausedUntilMs <= nowMs && laggingUntilMs <= nowMs
        );
        const fresh = usable.filter(({ report }) => !tried.has(report.databaseId));
        return (fresh.length > 0 ? fresh : usable)
            .sort((left, right) => this.cost(left) - this.cost(right))
            .map(({ report }) => report.databaseId);
    }

    recordStart(databaseId: string): void {
        const copy = this.copies.get(databaseId);
        if (copy !== undefined) {
            copy.inFlight += 1;
        }
    }

    recordAnswer(databaseId: string, elapsedMs: number | undefined): void {
        const copy = this.copies.get(databaseId);
        if (copy === undefined) {
            return;
        }
        copy.inFlight = Math.max(0, copy.inFlight - 1);
        if (elapsedMs !== undefined) {
            copy.failures = 0;
            copy.latencyMs += latencyWeight * (elapsedMs - copy.latencyMs);
        }
    }

    /** The database could not be reached or did not answer. */
    recordFailure(databaseId: string, nowMs: number): void {
        const copy = this.copies.get(databaseId);
        if (copy !== undefined && copy.pausedUntilMs <= nowMs) {
            copy.pausedUntilMs = nowMs + Math.min(maximumPauseMs, firstPauseMs * 2 ** copy.failures);
            copy.failures += 1;
        }
    }

    recordLagging(databaseId: string, untilMs: number): void {
        const copy = this.copies.get(databaseId);
        if (copy !== undefined) {
            copy.laggingUntilMs = untilMs;
        }
    }

    recordNotPrimary(databaseId: string, nowMs: number): void {
        const copy = this.copies.get(databaseId);
        if (copy !== undefined) {
            this.beliefOf(copy.report.service).recordDenial(databaseId, nowMs);
        }
    }

    recordPrimary(databaseId: string): void {
        const copy = this.copies.get(databaseId);
        if (copy !== undefined) {
            this.beliefOf(copy.report.service).recordProof(databaseId);
        }
    }

    private cost({ report, latencyMs, inFlight }: DatabaseEntry): number {
        const queued = inFlight / Math.max(1, report.slots);
        return latencyMs * (1 + queued) + (report.dataCentre === this.dataCentre ? 0 : distancePenaltyMs);
    }

    private beliefOf(service: string): PrimaryTracker {
        const known = this.beliefs.get(service);
        if (known !== undefined) {
            return known;
        }
        const belief = new PrimaryTracker();
        this.beliefs.set(service, belief);
        return belief;
    }
}

function newCopy(report: DatabaseReport): DatabaseEntry {
    return {
        report,
        latencyMs: initialLatencyMs,
        inFlight: 0,
        failures: 0,
        pausedUntilMs: 0,
        laggingUntilMs: 0,
    };
}
