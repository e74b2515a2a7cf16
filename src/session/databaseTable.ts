/** The known databases of each service, with their roles, failures, lag and cost as known by this instance. */
import { type DatabaseReport, ReportedState } from "../model/fleetMessages.ts";
import type { Position } from "../model/position.ts";
import { StatementFault, TaskMode } from "../model/sessionStatement.ts";
import type { SeededRandom } from "../pipeline/seededRandom.ts";
import {
    DatabaseCosts,
    Distance,
    type ReadCandidate,
    type ReadCost,
    type ReadDemand,
} from "../scheduling/databaseCost.ts";
import { type ObservedPosition, type PassedAt, ReplicaLag, withKnownLag } from "../scheduling/replicaLag.ts";
import { observedPositions } from "./attemptOutcome.ts";
import type { FloorRequests } from "./floorRequests.ts";
import { type PassedOver, PassOverReason } from "./placementRule.ts";
import { PrimaryTracker } from "./primaryTracker.ts";
import type { TaskAttempted } from "./taskMessages.ts";

/** Backoff after a failure of a database; doubles with each further failure up to the maximum. */
const firstPauseMs = 100;
const maximumPauseMs = 2_000;

/**
 * Pauses between two reads of this instance that find out whether a database still lags. A replica applies within tens of
 * milliseconds. If it lags by more, the pause is above the interval at which other instances tell its position, so that the
 * end of the lag is usually learned from them.
 */
const minimumLagPauseMs = 60;
const longLagPauseMs = 2_000;
const maximumLagPauseMs = 4_000;

/** Spreads the reads by which many instances find out: the pauses last up to half as long again. */
const lagPauseSpread = 0.5;

interface DatabaseEntry {
    report: DatabaseReport;
    failures: number;
    pausedUntilMs: number;
}

export interface DatabaseTableOptions {
    readonly dataCentre: string;
    /** Region of each data centre; by default none is known. */
    readonly dataCentreRegions?: ReadonlyMap<string, string>;
    readonly random: SeededRandom;
    /** Positions of the primaries. */
    readonly floors: Pick<FloorRequests, "exceededByMs">;
}

export class DatabaseTable {
    private readonly databases = new Map<string, DatabaseEntry>();
    private orderedByService: ReadonlyMap<string, string> = new Map();
    private readonly primaryTrackers = new Map<string, PrimaryTracker>();
    private readonly dataCentre: string;
    private readonly dataCentreRegions: ReadonlyMap<string, string>;
    private readonly random: SeededRandom;
    private readonly floors: DatabaseTableOptions["floors"];
    private readonly costs: DatabaseCosts;
    private readonly lag = new ReplicaLag({
        minimumPauseMs: minimumLagPauseMs,
        maximumPauseMs: maximumLagPauseMs,
        farBehindPauseMs: longLagPauseMs,
    });

    constructor({ dataCentre, dataCentreRegions = new Map(), random, floors }: DatabaseTableOptions) {
        this.dataCentre = dataCentre;
        this.dataCentreRegions = dataCentreRegions;
        this.random = random;
        this.floors = floors;
        this.costs = new DatabaseCosts(random);
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
            this.databases.set(report.databaseId, { report, failures: 0, pausedUntilMs: 0 });
            this.lag.remove(report.databaseId);
            this.costs.remove(report.databaseId);
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
            this.lag.remove(databaseId);
            this.costs.remove(databaseId);
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

    /**
     * Returns why a database gets no read now by what is known of its state; undefined if it may.
     * @param floor position that the read needs; undefined if any database may run it that answers
     */
    passOverForRead(databaseId: string, nowMs: number, floor?: Position): PassedOver | undefined {
        const entry = this.databases.get(databaseId);
        if (entry === undefined || entry.report.state !== ReportedState.Ready) {
            return { reason: PassOverReason.Draining, retryAfterMs: maximumPauseMs };
        }
        if (entry.pausedUntilMs > nowMs) {
            return { reason: PassOverReason.Unreachable, retryAfterMs: entry.pausedUntilMs - nowMs };
        }
        const spread = 1 + lagPauseSpread * this.random.nextFloat();
        const laggingUntilMs = floor === undefined || this.isPrimary(databaseId, nowMs)
            ? undefined
            : this.lag.avoidedUntilMs(databaseId, floor, this.passedAtMs(entry.report), nowMs, spread);
        return laggingUntilMs === undefined
            ? undefined
            : { reason: PassOverReason.Lagging, retryAfterMs: laggingUntilMs - nowMs };
    }

    /**
     * Sorts databases by cost, cheapest first; those in `tried` are left out unless there are no others. After an attempt
     * in another region only this region is left, unless none of its databases may run the read.
     */
    rankForRead(
        databaseIds: readonly string[],
        tried: ReadonlySet<string>,
        demand: ReadDemand,
        nowMs: number,
    ): readonly string[] {
        return this.costsOfRead(databaseIds, tried, demand, nowMs).map(({ candidate }) => candidate.databaseId);
    }

    /** Returns the same order with what a read would cost at each database. */
    costsOfRead(
        databaseIds: readonly string[],
        tried: ReadonlySet<string>,
        demand: ReadDemand,
        nowMs: number,
    ): readonly ReadCost[] {
        const hasCrossed = [...tried].some(databaseId => this.isElsewhere(databaseId));
        const near = hasCrossed ? databaseIds.filter(databaseId => !this.isElsewhere(databaseId)) : [];
        const allowed = near.length > 0 ? near : databaseIds;
        const untried = allowed.filter(databaseId => !tried.has(databaseId));
        const candidates = (untried.length > 0 ? untried : allowed).map((databaseId): ReadCandidate => {
            const { report: { dataCentre, slots } } = this.databases.get(databaseId)!;
            const isPrimary = this.isPrimary(databaseId, nowMs);
            return { databaseId, distance: this.distanceTo(dataCentre), isPrimary, slots };
        });
        return this.costs.costsOf(candidates, demand, nowMs);
    }

    /** Returns the load that the holder of a database has last told, with the time at which it did. */
    toldLoad(databaseId: string): ReturnType<DatabaseCosts["told"]> {
        return this.costs.told(databaseId);
    }

    recordStart(databaseId: string): void {
        if (this.databases.has(databaseId)) {
            this.costs.recordStart(databaseId);
        }
    }

    /** Records the end of what `recordStart` has recorded. */
    recordEnd(databaseId: string): void {
        if (this.databases.has(databaseId)) {
            this.costs.recordEnd(databaseId);
        }
    }

    /** Records that a read with this floor was sent to a database. */
    recordRead(databaseId: string, floor: Position, nowMs: number): void {
        this.lag.recordPlaced(databaseId, floor, nowMs);
    }

    /**
     * Records what an attempt tells about its database.
     * @param floor of the attempt
     */
    recordAttempt(attempt: TaskAttempted, floor: Position | undefined, nowMs: number): void {
        const { databaseId, reply, fault, leads, holderUnavailable, load } = attempt;
        const entry = this.databases.get(databaseId);
        if (entry === undefined) {
            return;
        }
        this.recordCost(attempt, entry, nowMs);
        this.lag.recordTrialEnd(databaseId);
        observedPositions(reply, load, nowMs).forEach(observed => this.recordPosition(databaseId, observed));
        const finalFault = reply?.fault ?? fault;
        if (reply === undefined && finalFault !== StatementFault.Busy && !holderUnavailable) {
            this.recordFailure(databaseId, nowMs);
        }
        if (finalFault === StatementFault.ReadOnly) {
            this.recordNotPrimary(databaseId, nowMs);
        }
        if (finalFault === StatementFault.Lagging && floor !== undefined) {
            this.lag.recordRefusal(databaseId, floor, nowMs);
        }
        if (leads) {
            this.trackerOf(entry.report.service).recordProof(databaseId);
        }
    }

    recordPosition(databaseId: string, observed: ObservedPosition): void {
        const entry = this.databases.get(databaseId);
        if (entry !== undefined) {
            this.lag.recordPosition(databaseId, withKnownLag(observed, this.passedAtMs(entry.report)));
        }
    }

    /** Starts the backoff of a database that could not be reached or did not answer. */
    private recordFailure(databaseId: string, nowMs: number): void {
        const entry = this.databases.get(databaseId);
        if (entry !== undefined && entry.pausedUntilMs <= nowMs) {
            entry.pausedUntilMs = nowMs + Math.min(maximumPauseMs, firstPauseMs * 2 ** entry.failures);
            entry.failures += 1;
        }
    }

    recordNotPrimary(databaseId: string, nowMs: number): void {
        const entry = this.databases.get(databaseId);
        if (entry !== undefined) {
            this.trackerOf(entry.report.service).recordDenial(databaseId, nowMs);
        }
    }

    private recordCost(
        { databaseId, reply, sentMs, task, load }: TaskAttempted,
        entry: DatabaseEntry,
        nowMs: number,
    ): void {
        if (load !== undefined) {
            this.costs.recordLoad(databaseId, load, nowMs);
        }
        if (reply === undefined || reply.fault !== undefined || sentMs === undefined) {
            return;
        }
        entry.failures = 0;
        if (task.mode !== TaskMode.Probe) {
            this.costs.recordLatency(databaseId, nowMs - sentMs, load, nowMs);
        }
    }

    private isPrimary(databaseId: string, nowMs: number): boolean {
        return this.primary(this.databases.get(databaseId)!.report.service, nowMs) === databaseId;
    }

    private isElsewhere(databaseId: string): boolean {
        const entry = this.databases.get(databaseId);
        return entry !== undefined && this.distanceTo(entry.report.dataCentre) === Distance.OtherRegion;
    }

    private passedAtMs({ service }: DatabaseReport): PassedAt {
        return position => this.floors.exceededByMs(service, position);
    }

    private distanceTo(dataCentre: string): Distance {
        if (dataCentre === this.dataCentre) {
            return Distance.SameDataCentre;
        }
        const region = this.dataCentreRegions.get(dataCentre);
        return region !== undefined && region === this.dataCentreRegions.get(this.dataCentre)
            ? Distance.SameRegion
            : Distance.OtherRegion;
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
