/** The known databases of each service, with their latency, load and failures as seen by this instance. */
import { type DatabaseReport, ReportedState } from "../model/fleetMessages.ts";
import { type PassedOver, PassOverReason } from "./placementRule.ts";
import { PrimaryTracker } from "./primaryTracker.ts";

/** Weight of the newest sample in the moving average of the latency. */
const latencySmoothing = 0.2;

/** Latency assumed before the first answer; about the execution time of a small statement. */
const initialLatencyMs = 25;

/**
 * Added to the cost of a database in another data centre. Weighs the price of traffic between data centres against
 * latency: about this much is acceptable to a caller with a latency target of a few hundred milliseconds.
 */
const remotePenaltyMs = 25;

/** Backoff after a failure of a database; doubles with each further failure up to the maximum. */
const firstPauseMs = 100;
const maximumPauseMs = 2_000;

interface DatabaseEntry {
    report: DatabaseReport;
    latencyMs: number;
    inFlight: number;
    failures: number;
    pausedUntilMs: number;
    /** The database recently refused a read as lagging and gets no reads before this time. */
    laggingUntilMs: number;
}

export class DatabaseTable {
    private readonly databases = new Map<string, DatabaseEntry>();
    private orderedByService: ReadonlyMap<string, string> = new Map();
    private readonly primaryTrackers = new Map<string, PrimaryTracker>();
    private readonly dataCentre: string;

    constructor(dataCentre: string) {
        this.dataCentre = dataCentre;
    }

    /** Applies a report, which must be newer than the known one of the same database. */
    applyReport(report: DatabaseReport): void {
        const existing = this.databases.get(report.databaseId);
        const tracker = this.trackerOf(report.service);
        const restarted = existing !== undefined && existing.report.bornUnixMs !== report.bornUnixMs;
        if (report.leads && (existing?.report.leads !== true || restarted)) {
            tracker.addClaim(report.databaseId);
        }
        else if (!report.leads && existing?.report.leads !== false) {
            tracker.removeClaim(report.databaseId);
        }
        if (existing === undefined || restarted || existing.report.address !== report.address) {
            this.databases.set(report.databaseId, newEntry(report));
        }
        else {
            existing.report = report;
        }
    }

    remove(databaseId: string): void {
        const entry = this.databases.get(databaseId);
        if (entry !== undefined) {
            this.trackerOf(entry.report.service).removeClaim(databaseId);
            this.databases.delete(databaseId);
        }
    }

    /**
     * Applies the orders that are under way. Until the ordered database leads, no other one counts as primary.
     * @returns the services whose order changed
     */
    applyOrders(ordered: ReadonlyMap<string, string>): readonly string[] {
        const before = this.orderedByService;
        this.orderedByService = ordered;
        return [...new Set([...before.keys(), ...ordered.keys()])]
            .filter(service => before.get(service) !== ordered.get(service));
    }

    recordPromotion(service: string, databaseId: string): void {
        this.trackerOf(service).addClaim(databaseId);
    }

    report(databaseId: string): DatabaseReport | undefined {
        return this.databases.get(databaseId)?.report;
    }

    hasService(service: string): boolean {
        return [...this.databases.values()].some(entry => entry.report.service === service);
    }

    /** Returns the presumed primary of a service; undefined while it is in backoff after a failure. */
    primary(service: string, nowMs: number): string | undefined {
        const ordered = this.orderedByService.get(service);
        const databaseId = this.trackerOf(service).currentPrimary(
            candidate => this.databases.has(candidate) && (ordered ?? candidate) === candidate,
            nowMs,
        );
        const entry = databaseId === undefined ? undefined : this.databases.get(databaseId);
        return entry !== undefined && entry.pausedUntilMs <= nowMs ? databaseId : undefined;
    }

    reportsOf(service: string): readonly DatabaseReport[] {
        return [...this.databases.values()].map(({ report }) => report).filter(report => report.service === service);
    }

    /** Returns why a database gets no read now by what is known of its state; undefined if it may. */
    passOverForRead(databaseId: string, nowMs: number): PassedOver | undefined {
        const entry = this.databases.get(databaseId);
        if (entry === undefined || entry.report.state !== ReportedState.Ready) {
            return { reason: PassOverReason.Draining, retryAfterMs: maximumPauseMs };
        }
        const { pausedUntilMs, laggingUntilMs } = entry;
        if (pausedUntilMs > nowMs) {
            return { reason: PassOverReason.Unreachable, retryAfterMs: pausedUntilMs - nowMs };
        }
        return laggingUntilMs > nowMs
            ? { reason: PassOverReason.Lagging, retryAfterMs: laggingUntilMs - nowMs }
            : undefined;
    }

    /** Sorts databases by cost, cheapest first; those in `tried` are left out unless there are no others. */
    rankForRead(databaseIds: readonly string[], tried: ReadonlySet<string>): readonly string[] {
        const untried = databaseIds.filter(databaseId => !tried.has(databaseId));
        return [...untried.length > 0 ? untried : databaseIds]
            .map(databaseId => ({ databaseId, cost: this.cost(this.databases.get(databaseId)!) }))
            .sort((left, right) => left.cost - right.cost)
            .map(({ databaseId }) => databaseId);
    }

    recordStart(databaseId: string): void {
        const entry = this.databases.get(databaseId);
        if (entry !== undefined) {
            entry.inFlight += 1;
        }
    }

    /** @param elapsedMs latency of the attempt; undefined when it had no successful answer */
    recordAnswer(databaseId: string, elapsedMs: number | undefined): void {
        const entry = this.databases.get(databaseId);
        if (entry === undefined) {
            return;
        }
        entry.inFlight = Math.max(0, entry.inFlight - 1);
        if (elapsedMs !== undefined) {
            entry.failures = 0;
            entry.latencyMs += latencySmoothing * (elapsedMs - entry.latencyMs);
        }
    }

    /** Starts the backoff of a database that could not be reached or did not answer. */
    recordFailure(databaseId: string, nowMs: number): void {
        const entry = this.databases.get(databaseId);
        if (entry !== undefined && entry.pausedUntilMs <= nowMs) {
            entry.pausedUntilMs = nowMs + Math.min(maximumPauseMs, firstPauseMs * 2 ** entry.failures);
            entry.failures += 1;
        }
    }

    recordLagging(databaseId: string, untilMs: number): void {
        const entry = this.databases.get(databaseId);
        if (entry !== undefined) {
            entry.laggingUntilMs = untilMs;
        }
    }

    recordNotPrimary(databaseId: string, nowMs: number): void {
        const entry = this.databases.get(databaseId);
        if (entry !== undefined) {
            this.trackerOf(entry.report.service).recordDenial(databaseId, nowMs);
        }
    }

    recordPrimary(databaseId: string): void {
        const entry = this.databases.get(databaseId);
        if (entry !== undefined) {
            this.trackerOf(entry.report.service).recordProof(databaseId);
        }
    }

    private cost({ report, latencyMs, inFlight }: DatabaseEntry): number {
        const load = inFlight / Math.max(1, report.slots);
        return latencyMs * (1 + load) + (report.dataCentre === this.dataCentre ? 0 : remotePenaltyMs);
    }

    private trackerOf(service: string): PrimaryTracker {
        const existing = this.primaryTrackers.get(service);
        if (existing !== undefined) {
            return existing;
        }
        const tracker = new PrimaryTracker();
        this.primaryTrackers.set(service, tracker);
        return tracker;
    }
}

function newEntry(report: DatabaseReport): DatabaseEntry {
    return {
        report,
        latencyMs: initialLatencyMs,
        inFlight: 0,
        failures: 0,
        pausedUntilMs: 0,
        laggingUntilMs: 0,
    };
}
