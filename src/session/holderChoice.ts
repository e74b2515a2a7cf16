/** Chooses the instance that runs the tasks for a database, among those of the database's data centre. */
import type { DatabaseReport, DatabaseSuspected } from "../model/fleetMessages.ts";
import type { PeerInstance } from "../model/peerMessages.ts";
import { HolderRanking } from "./holderRanking.ts";
import type { Responsiveness } from "./responsiveness.ts";

/** Time for which a holder that cannot reach a database is skipped for it; meanwhile no other one is recorded. */
const avoidanceMs = 1_500;

/**
 * Maximum of consecutive instances that are skipped for a database because they time out or cannot reach it. With more
 * of them the database is the likelier cause: tasks that hang at an unresponsive database make every holder time out.
 */
const maximumSkippedHolders = 2;

/** An instance that is skipped for one database because it cannot reach it. */
interface Avoidance {
    /** Undefined for this instance itself. */
    readonly address: string | undefined;
    readonly untilMs: number;
}

/** The instance that runs the tasks for a database. */
export interface ChosenHolder {
    /** Undefined when this instance itself uses the database. */
    readonly address: string | undefined;
    /** This instance is the holder; without being the holder it uses the database with few links. */
    readonly isHolder: boolean;
}

/** Why an instance is skipped as the holder of a database. */
export const SkipReason = {
    /** Its connection has ended. */
    Disconnected: "disconnected",
    /** It does not answer in time. */
    Silent: "silent",
    /** It could not reach the database. */
    CannotReach: "cannot_reach_database",
} as const;
export type SkipReason = typeof SkipReason[keyof typeof SkipReason];

/** An instance that may be the holder of a database. */
export interface HolderCandidate {
    readonly instance: PeerInstance;
    readonly isThisInstance: boolean;
    /** Undefined if it is not skipped. */
    readonly skipReason: SkipReason | undefined;
}

export interface HolderChoiceOptions {
    readonly instanceId: string;
    readonly responsiveness: Responsiveness;
}

export class HolderChoice {
    private readonly instanceId: string;
    private readonly responsiveness: Responsiveness;
    private readonly ranking = new HolderRanking();
    private readonly databases = new Map<string, DatabaseReport>();
    /** By database id. */
    private readonly avoidances = new Map<string, Avoidance>();

    constructor({ instanceId, responsiveness }: HolderChoiceOptions) {
        this.instanceId = instanceId;
        this.responsiveness = responsiveness;
    }

    /** @returns the databases whose holder may have changed */
    setInstances(instances: readonly PeerInstance[]): readonly string[] {
        const changed = this.ranking.setInstances(instances);
        return [...this.databases.values()].filter(({ dataCentre }) => changed.has(dataCentre))
            .map(({ databaseId }) => databaseId);
    }

    addDatabase(report: DatabaseReport): void {
        this.databases.set(report.databaseId, report);
    }

    dataCentreOf(databaseId: string): string | undefined {
        return this.databases.get(databaseId)?.dataCentre;
    }

    hasDatabase(databaseId: string): boolean {
        return this.databases.has(databaseId);
    }

    removeDatabase(databaseId: string): void {
        this.databases.delete(databaseId);
        this.ranking.remove(databaseId);
        this.avoidances.delete(databaseId);
    }

    choose(databaseId: string, nowMs: number): ChosenHolder {
        const report = this.databases.get(databaseId);
        const ranked = report === undefined ? [] : this.ranking.rank(databaseId, report.dataCentre);
        const holder = this.firstUsable(databaseId, ranked, nowMs);
        const isSelf = holder !== undefined && this.isThisInstance(holder);
        // A skipped instance that still runs keeps its connections; those of two holders exceed the connection limit.
        const first = ranked.find(instance =>
            this.isThisInstance(instance) || !this.responsiveness.isDisconnected(instance.address, nowMs)
        );
        return { address: isSelf ? undefined : holder?.address, isHolder: isSelf && holder === first };
    }

    /** Returns the instances from which `choose` chooses, highest rank first. */
    candidates(databaseId: string, nowMs: number): readonly HolderCandidate[] {
        const report = this.databases.get(databaseId);
        const ranked = report === undefined ? [] : this.ranking.rank(databaseId, report.dataCentre);
        return ranked.map(instance => {
            const isThisInstance = this.isThisInstance(instance);
            const address = isThisInstance ? undefined : instance.address;
            return { instance, isThisInstance, skipReason: this.skipReason(databaseId, address, nowMs) };
        });
    }

    /**
     * Skips a holder that could not reach the database. A database that was reached and did not answer would be as slow
     * for another holder.
     */
    recordUnreachable({ databaseId, address, sent }: DatabaseSuspected, nowMs: number): void {
        if (sent || !this.databases.has(databaseId) || (this.avoidances.get(databaseId)?.untilMs ?? 0) > nowMs) {
            return;
        }
        this.avoidances.set(databaseId, { address, untilMs: nowMs + avoidanceMs });
    }

    /** Returns the first instance that is not skipped; the first one that runs when too many in a row are skipped. */
    private firstUsable(
        databaseId: string,
        ranked: readonly PeerInstance[],
        nowMs: number,
    ): PeerInstance | undefined {
        let firstRunning: PeerInstance | undefined;
        let skipped = 0;
        for (const instance of ranked) {
            const isSelf = this.isThisInstance(instance);
            if (!isSelf && this.responsiveness.isDisconnected(instance.address, nowMs)) {
                continue;
            }
            if (this.skipReason(databaseId, isSelf ? undefined : instance.address, nowMs) === undefined) {
                return instance;
            }
            firstRunning ??= instance;
            skipped += 1;
            if (skipped > maximumSkippedHolders) {
                break;
            }
        }
        return firstRunning;
    }

    private isThisInstance({ instanceId }: PeerInstance): boolean {
        return instanceId === this.instanceId;
    }

    /** @param address of the instance; undefined for this one */
    private skipReason(databaseId: string, address: string | undefined, nowMs: number): SkipReason | undefined {
        const avoidance = this.avoidances.get(databaseId);
        const cannotReach = avoidance !== undefined && avoidance.untilMs > nowMs && avoidance.address === address;
        if (address !== undefined && this.responsiveness.isAvoided(address, nowMs)) {
            return this.responsiveness.isDisconnected(address, nowMs) ? SkipReason.Disconnected : SkipReason.Silent;
        }
        return cannotReach ? SkipReason.CannotReach : undefined;
    }
}
