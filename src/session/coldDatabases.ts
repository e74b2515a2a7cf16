/** Which databases are cold, as far as this instance knows, and what such a database may get. */
import type { DatabaseReport, PolicyApplied } from "../model/fleetMessages.ts";
import { LinkLoss } from "../model/linkMessages.ts";
import type { ServicePolicy } from "../model/trafficPolicy.ts";

/**
 * Time for which a database counts as cold at least once its data centre gets work again, or it was not reached: until its
 * next reports are known here, several intervals of them.
 */
const unreportedMs = 5_000;

/** The same after a link that broke, which seldom means that the database has ended: about two intervals of its reports. */
const brokenLinkMs = 2_500;

/** A database that is first heard of this long after others of its service has started meanwhile. */
const discoveryMs = 3_000;

interface KnownDatabase {
    report: DatabaseReport;
    coldUntilMs: number;
}

export class ColdDatabases {
    private readonly databases = new Map<string, KnownDatabase>();
    /** Time of the first report of each service. */
    private readonly knownSinceMs = new Map<string, number>();
    /**
     * Databases that refused or ended connections: time from which the control leader would have told that they have started
     * again. They count as cold until it has answered a later request, because this instance may be out of touch.
     */
    private readonly unreachableUntilMs = new Map<string, number>();
    private services: ReadonlyMap<string, ServicePolicy> = new Map();
    private evacuated: ReadonlySet<string> = new Set();

    applyPolicy({ policy, evacuated = new Set<string>() }: PolicyApplied, nowMs: number): void {
        const ended = [...this.evacuated].filter(dataCentre => !evacuated.has(dataCentre));
        this.services = policy.services;
        this.evacuated = evacuated;
        for (const database of this.databases.values()) {
            if (ended.includes(database.report.dataCentre)) {
                this.extend(database, nowMs + Math.max(unreportedMs, this.coldStartMs(database.report)));
            }
        }
    }

    applyReport(report: DatabaseReport, nowMs: number): void {
        const { databaseId, service } = report;
        const known = this.databases.get(databaseId);
        const knownSinceMs = this.knownSinceMs.get(service) ?? nowMs;
        this.knownSinceMs.set(service, knownSinceMs);
        const hasStarted = known === undefined
            ? nowMs - knownSinceMs > discoveryMs
            : known.report.bornUnixMs !== report.bornUnixMs;
        const database = known ?? { report, coldUntilMs: -Infinity };
        database.report = report;
        this.databases.set(databaseId, database);
        if (hasStarted) {
            this.extend(database, nowMs + this.coldStartMs(report));
            this.unreachableUntilMs.delete(databaseId);
        }
    }

    /** The database may have ended, and may start again before its first report is known here. */
    recordLostLink(databaseId: string, loss: LinkLoss, nowMs: number): void {
        if (this.databases.has(databaseId)) {
            const untilMs = nowMs + (loss === LinkLoss.NoListener ? unreportedMs : brokenLinkMs);
            this.unreachableUntilMs.set(databaseId, Math.max(untilMs, this.unreachableUntilMs.get(databaseId) ?? 0));
        }
    }

    /** The control leader answered a request; what it knew of the database then was sent before the answer. */
    recordAnswer(databaseId: string, askedMs: number): void {
        if (askedMs >= (this.unreachableUntilMs.get(databaseId) ?? Infinity)) {
            this.unreachableUntilMs.delete(databaseId);
        }
    }

    remove(databaseId: string): void {
        this.databases.delete(databaseId);
        this.unreachableUntilMs.delete(databaseId);
    }

    /** Returns the policy of the database's service if the database is cold and has a limit; otherwise undefined. */
    limitingPolicy(databaseId: string, nowMs: number): ServicePolicy | undefined {
        const database = this.databases.get(databaseId);
        const policy = database === undefined ? undefined : this.services.get(database.report.service);
        const isCold = database !== undefined && (
            (database.report.coldLeftMs ?? 0) > 0
            || nowMs < database.coldUntilMs
            || this.unreachableUntilMs.has(databaseId)
        );
        return isCold && (policy?.coldPerSecond ?? 0) > 0 ? policy : undefined;
    }

    private coldStartMs({ service }: DatabaseReport): number {
        return this.services.get(service)?.coldStartMs ?? 0;
    }

    private extend(database: KnownDatabase, untilMs: number): void {
        database.coldUntilMs = Math.max(database.coldUntilMs, untilMs);
    }
}
