/** Selects the database of a group that serves a statement. */
import type { DatabaseView } from "../model/clusterMessages.ts";
import { DatabaseRole } from "../model/database.ts";
import { hasReached, type Position } from "../model/position.ts";
import type { SeededRandom } from "../pipeline/seededRandom.ts";
import { Evacuations, EvacuationStage, mysqlEvacuationBoundMs } from "../scheduling/evacuations.ts";

export interface DatabaseSelectorOptions {
    readonly dataCentre: string;
    readonly random: SeededRandom;
}

// Penalties are in units of load: statements in flight per slot. A round trip to another data centre costs less than a
// statement; with a higher value, remote replicas stayed idle under heavy load.
const remoteDataCentrePenalty = 0.5;

// A read on a replica that has not announced the floor yet waits for replication or for a new announcement.
const behindFloorPenalty = 2;

// Reads avoid a replica that did not reach a floor in time, so that they do not all wait for it.
const laggingAvoidanceDurationMs = 250;

/** Tracks the databases and the statements that this instance has in flight on each. */
export class DatabaseSelector {
    private readonly options: DatabaseSelectorOptions;
    private databases = new Map<string, DatabaseView>();
    private byService = new Map<string, DatabaseView[]>();
    private readonly inFlightCounts = new Map<string, number>();
    private readonly avoidUntilMs = new Map<string, number>();
    private readonly evacuations = new Evacuations(mysqlEvacuationBoundMs);

    constructor(options: DatabaseSelectorOptions) {
        this.options = options;
    }

    update(databases: readonly DatabaseView[], nowMs: number): void {
        this.applyEvacuations(databases, nowMs);
        this.databases = new Map(databases.map(database => [database.databaseId, database]));
        this.byService = new Map();
        for (const database of databases) {
            this.byService.set(database.service, [...this.byService.get(database.service) ?? [], database]);
        }
    }

    /** An evacuation has begun now only if a database of the data centre was listed before, without one. */
    private applyEvacuations(databases: readonly DatabaseView[], nowMs: number): void {
        const before = [...this.databases.values()].filter(database => database.evacuated !== true);
        const openBefore = new Set(before.map(({ dataCentre }) => dataCentre));
        const isInForce = (dataCentre: string): boolean =>
            this.evacuations.stageOf({ dataCentre, leads: false }, nowMs) !== EvacuationStage.Open;
        const evacuated = databases.filter(database => database.evacuated === true).map(({ dataCentre }) => dataCentre);
        const earlier = evacuated.filter(dataCentre => isInForce(dataCentre) || !openBefore.has(dataCentre));
        this.evacuations.apply({ evacuated: new Set(earlier) }, -Infinity);
        this.evacuations.apply({ evacuated: new Set(evacuated) }, nowMs);
    }

    get(databaseId: string): DatabaseView | undefined {
        return this.databases.get(databaseId);
    }

    isKnownService(service: string): boolean {
        return this.byService.has(service);
    }

    groupOf(service: string): string | undefined {
        return this.byService.get(service)?.[0]?.groupId;
    }

    /** A primary in an evacuated data centre is found for some time, while another one may take its place. */
    findPrimary(service: string, nowMs: number): DatabaseView | undefined {
        return this.byService.get(service)?.find(each =>
            each.role === DatabaseRole.Primary && each.available && each.holder !== undefined
            && this.evacuationStageOf(each, nowMs) === EvacuationStage.Open
        );
    }

    /** Whether the primary gets no work because its data centre is evacuated. */
    isPrimaryEvacuated(service: string, nowMs: number): boolean {
        const primary = this.byService.get(service)?.find(({ role }) => role === DatabaseRole.Primary);
        return primary !== undefined && this.evacuationStageOf(primary, nowMs) !== EvacuationStage.Open;
    }

    evacuationStageOf({ dataCentre, role }: DatabaseView, nowMs: number): EvacuationStage {
        return this.evacuations.stageOf({ dataCentre, leads: role === DatabaseRole.Primary }, nowMs);
    }

    /** Chooses the better of two random replicas, so that instances do not all send to the one that looks best. */
    chooseReplica(service: string, floor: Position, nowMs: number): DatabaseView | undefined {
        const candidates = (this.byService.get(service) ?? []).filter(each =>
            each.role === DatabaseRole.Replica && each.available && each.holder !== undefined
            && (this.avoidUntilMs.get(each.databaseId) ?? 0) <= nowMs
            && this.evacuationStageOf(each, nowMs) === EvacuationStage.Open
        );
        const first = this.removeRandom(candidates);
        const second = this.removeRandom(candidates);
        if (first === undefined || second === undefined) {
            return first;
        }
        return this.cost(first, floor) <= this.cost(second, floor) ? first : second;
    }

    recordStart(databaseId: string): void {
        this.inFlightCounts.set(databaseId, (this.inFlightCounts.get(databaseId) ?? 0) + 1);
    }

    recordEnd(databaseId: string): void {
        this.inFlightCounts.set(databaseId, Math.max(0, (this.inFlightCounts.get(databaseId) ?? 0) - 1));
    }

    recordLagging(databaseId: string, nowMs: number): void {
        this.avoidUntilMs.set(databaseId, nowMs + laggingAvoidanceDurationMs);
    }

    private cost(database: DatabaseView, floor: Position): number {
        const load = (this.inFlightCounts.get(database.databaseId) ?? 0) / database.slots;
        const distancePenalty = database.dataCentre === this.options.dataCentre ? 0 : remoteDataCentrePenalty;
        const lagPenalty = hasReached(database.position, floor) ? 0 : behindFloorPenalty;
        return load + distancePenalty + lagPenalty;
    }

    private removeRandom(candidates: DatabaseView[]): DatabaseView | undefined {
        return candidates.length === 0
            ? undefined
            : candidates.splice(this.options.random.nextInteger(candidates.length), 1)[0];
    }
}
