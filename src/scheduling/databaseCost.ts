/** Cost of running a read on each of the databases that may run it, in milliseconds. */
import { type DatabaseLoad, expectedWaitMs } from "../model/databaseLoad.ts";
import type { SeededRandom } from "../pipeline/seededRandom.ts";
import { rendezvousHash } from "./rendezvousHash.ts";

/** Where a database is as seen from an instance. */
export const Distance = {
    SameDataCentre: "same_data_centre",
    SameRegion: "same_region",
    OtherRegion: "other_region",
} as const;
export type Distance = typeof Distance[keyof typeof Distance];

/**
 * Added to the latency of a database that is farther away. Weighs the price of traffic against latency: about as much is
 * acceptable to a caller with a latency objective of a few hundred milliseconds.
 */
const distanceCostMs: Readonly<Record<Distance, number>> = {
    [Distance.SameDataCentre]: 0,
    [Distance.SameRegion]: 8,
    [Distance.OtherRegion]: 25,
};

/** Latency assumed before the first answer; about the execution time of a small statement. */
const initialLatencyMs = 25;

/** Weight of the newest sample in the moving averages after a short pause; after a longer one it rises towards 1. */
const minimumWeight = 0.2;
const averagingMs = 1_500;

/** Time after which what is known of a wait, and of a latency, counts for 1/e beside what other databases do. */
const waitMemoryMs = 1_500;
const latencyMemoryMs = 5_000;

/** Added for a read at the primary, whose slots and connections are needed by what only the primary can run. */
const primaryCostMs = 10;

/**
 * Added for each database that the workspace prefers to this one: the share of a new connection, which occupies a slot
 * for about 12 ms, that a read away from the connections of its workspace costs.
 */
const affinityCostMs = 5;

/** Wait in a holder whose event loop is busy for half of its time, and the longest that is assumed. */
const halfBusyWaitMs = 8;
const maximumBusyWaitMs = 200;

export interface ReadCandidate {
    readonly databaseId: string;
    readonly distance: Distance;
    readonly isPrimary: boolean;
    readonly slots: number;
}

export interface ReadDemand {
    /** Of the route; 0 is the highest. */
    readonly priority: number;
    readonly workspace: string;
}

/** What a read would cost at a database, and what that consists of. */
export interface ReadCost {
    readonly candidate: ReadCandidate;
    readonly costMs: number;
    /** Expected wait in front of the database. */
    readonly waitMs: number;
    /** Latency beyond the shortest one. */
    readonly addedLatencyMs: number;
    readonly shortestMs: number;
    /** Reads of this instance that run there. */
    readonly inFlight: number;
}

interface CostEntry {
    /** Moving average of the latency without the wait that the load told. */
    latencyMs: number;
    /** Shortest latency, which the distance alone accounts for. */
    shortestMs: number;
    answeredAtMs: number;
    load: DatabaseLoad | undefined;
    loadAtMs: number;
    inFlight: number;
}

/**
 * Load answered: many instances with a few reads per second each, which see little of the load themselves, and databases
 * that turn slow or full. What the holders tell is believed for as long as it is recent, and then gives way to the mean of
 * the other databases, so that a database gets reads again after a while. The part of the cost that is due to load is
 * multiplied by a random factor, so that instances that know the same do not all choose the same database.
 */
export class DatabaseCosts {
    private readonly random: SeededRandom;
    private readonly entries = new Map<string, CostEntry>();

    constructor(random: SeededRandom) {
        this.random = random;
    }

    recordStart(databaseId: string): void {
        this.entryOf(databaseId).inFlight += 1;
    }

    recordEnd(databaseId: string): void {
        const entry = this.entryOf(databaseId);
        entry.inFlight = Math.max(0, entry.inFlight - 1);
    }

    /**
     * @param elapsedMs time between the sending of a statement and its successful answer
     * @param load told with the answer
     */
    recordLatency(databaseId: string, elapsedMs: number, load: DatabaseLoad | undefined, nowMs: number): void {
        const entry = this.entryOf(databaseId);
        // A load that was told accounts for the waits; without one the latency does.
        const unloadedMs = Math.max(0, elapsedMs - (load?.expectedWaitsMs[0] ?? 0));
        const weight = Math.max(minimumWeight, 1 - Math.exp((entry.answeredAtMs - nowMs) / averagingMs));
        entry.latencyMs += weight * (unloadedMs - entry.latencyMs);
        entry.shortestMs = entry.answeredAtMs === -Infinity ? elapsedMs : Math.min(entry.shortestMs, elapsedMs);
        entry.answeredAtMs = nowMs;
    }

    recordLoad(databaseId: string, load: DatabaseLoad, nowMs: number): void {
        Object.assign(this.entryOf(databaseId), { load, loadAtMs: nowMs });
    }

    remove(databaseId: string): void {
        this.entries.delete(databaseId);
    }

    /** Returns the load that was last told of a database. */
    told(databaseId: string): { readonly load: DatabaseLoad; readonly atMs: number; } | undefined {
        const entry = this.entries.get(databaseId);
        return entry?.load === undefined ? undefined : { load: entry.load, atMs: entry.loadAtMs };
    }

    /** Sorts databases by cost, cheapest first. */
    rank(candidates: readonly ReadCandidate[], demand: ReadDemand, nowMs: number): readonly string[] {
        return this.costsOf(candidates, demand, nowMs).map(({ candidate }) => candidate.databaseId);
    }

    /** Returns what a read would cost at each database, cheapest first. */
    costsOf(candidates: readonly ReadCandidate[], demand: ReadDemand, nowMs: number): readonly ReadCost[] {
        const known = candidates.map(({ databaseId }) => this.entries.get(databaseId) ?? newEntry());
        const waits = aged(
            known.map(({ load }) => load === undefined ? 0 : loadWaitMs(load, demand.priority)),
            known.map(({ loadAtMs }) => Math.exp((loadAtMs - nowMs) / waitMemoryMs)),
        );
        const latencies = aged(
            known.map(({ latencyMs, shortestMs }) => Math.max(0, latencyMs - shortestMs)),
            known.map(({ answeredAtMs }) => Math.exp((answeredAtMs - nowMs) / latencyMemoryMs)),
        );
        const preferences = preferenceOrder(candidates, demand.workspace);
        return candidates.map((candidate, index) => {
            const { shortestMs, inFlight } = known[index]!;
            const waitMs = waits[index]! * (candidate.isPrimary ? 2 : 1);
            const queuedMs = (shortestMs + latencies[index]!) * inFlight / Math.max(1, candidate.slots);
            const loadCostMs = (waitMs + latencies[index]! + queuedMs) * (0.5 + this.random.nextFloat());
            const fixedCostMs = shortestMs + distanceCostMs[candidate.distance]
                + (candidate.isPrimary ? primaryCostMs : 0)
                + affinityCostMs * preferences.indexOf(candidate.databaseId);
            return {
                candidate,
                costMs: fixedCostMs + loadCostMs,
                waitMs,
                addedLatencyMs: latencies[index]!,
                shortestMs,
                inFlight,
            };
        })
            .sort((left, right) => left.costMs - right.costMs);
    }

    private entryOf(databaseId: string): CostEntry {
        const entry = this.entries.get(databaseId) ?? newEntry();
        this.entries.set(databaseId, entry);
        return entry;
    }
}

/** Expected time until a statement starts: the queue in front of the database, and the one in its holder. */
function loadWaitMs(load: DatabaseLoad, priority: number): number {
    const { busyShare } = load;
    const busyWaitMs = busyShare < 1 ? halfBusyWaitMs * busyShare / (1 - busyShare) : maximumBusyWaitMs;
    return expectedWaitMs(load, priority) + Math.min(maximumBusyWaitMs, busyWaitMs);
}

/**
 * Moves each value towards the mean of all, the less fresh it is the more. A database of which nothing is known counts in
 * this mean as one without load.
 * @param freshness 0 to 1, one for each value
 */
function aged(values: readonly number[], freshness: readonly number[]): readonly number[] {
    const mean = values.reduce((sum, value, index) => sum + value * freshness[index]!, 0) / Math.max(1, values.length);
    return values.map((value, index) => freshness[index]! * value + (1 - freshness[index]!) * mean);
}

/** Sorts databases by how much a workspace prefers them; all instances sort them alike. */
function preferenceOrder(candidates: readonly ReadCandidate[], workspace: string): readonly string[] {
    return candidates
        .map(({ databaseId }) => ({ databaseId, weight: rendezvousHash(`${workspace}/${databaseId}`) }))
        .sort((left, right) => right.weight - left.weight)
        .map(({ databaseId }) => databaseId);
}

function newEntry(): CostEntry {
    return {
        latencyMs: initialLatencyMs,
        shortestMs: initialLatencyMs,
        answeredAtMs: -Infinity,
        load: undefined,
        loadAtMs: -Infinity,
        inFlight: 0,
    };
}
