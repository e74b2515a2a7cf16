/** The newest log positions of databases that lag, or did until recently, to be told to other instances. */
import type { ReplicaPosition } from "../model/peerMessages.ts";
import { isFarBehind, type ObservedPosition } from "./replicaLag.ts";

/** Time for which positions are told after the last sign of lag, so that others learn of the recovery too. */
const toldForMs = 5_000;

/** What a new observation changes for other instances. */
export const PositionChange = {
    /** The observation is older than the known one, or there are too many databases. */
    None: "none",
    Position: "position",
    /** The database began to lag, or ceased to. */
    Lag: "lag",
} as const;
export type PositionChange = typeof PositionChange[keyof typeof PositionChange];

/** Interval at which the position of a database that lags is asked for. */
const probeIntervalMs = 700;

/** Maximum of services, and of databases of one service; guards memory against false messages. */
const maximumServices = 1_024;
const maximumDatabases = 32;

/** Age from which a position gives way to that of another database. */
const forgottenAfterMs = 60_000;

interface PositionEntry {
    observed: ObservedPosition;
    lags: boolean;
    /** Time of the newest observation that showed lag; `-Infinity` if none did. */
    laggedAtMs: number;
    probedAtMs: number;
}

export class ReplicaPositions {
    private readonly services = new Map<string, Map<string, PositionEntry>>();

    record(service: string, databaseId: string, observed: ObservedPosition): PositionChange {
        const entries = this.services.get(service) ?? new Map<string, PositionEntry>();
        const known = entries.get(databaseId);
        const isRefused = known === undefined
            ? !this.hasRoomFor(service, entries, observed)
            : known.observed.atMs >= observed.atMs;
        if (isRefused) {
            return PositionChange.None;
        }
        const lags = isFarBehind(observed);
        entries.set(databaseId, {
            observed,
            lags,
            laggedAtMs: lags ? observed.atMs : known?.laggedAtMs ?? -Infinity,
            probedAtMs: known?.probedAtMs ?? -Infinity,
        });
        this.services.set(service, entries);
        return lags === (known?.lags ?? false) ? PositionChange.Position : PositionChange.Lag;
    }

    /** Returns what other instances should know of the databases of a service. */
    toTell(service: string, nowMs: number): readonly ReplicaPosition[] {
        return this.recentlyLagging(service, nowMs).map(([databaseId, { observed: { position, atMs, lagMs } }]) => ({
            databaseId,
            position,
            ageMs: Math.max(0, nowMs - atMs),
            lagMs,
        }));
    }

    /** Returns the databases of a service that lag and should be asked for their position now. */
    takeProbes(service: string, nowMs: number): readonly string[] {
        const due = this.recentlyLagging(service, nowMs).filter(([, { observed, probedAtMs }]) =>
            Math.max(observed.atMs, probedAtMs) <= nowMs - probeIntervalMs
        );
        due.forEach(([, entry]) => entry.probedAtMs = nowMs);
        return due.map(([databaseId]) => databaseId);
    }

    /** Makes room by forgetting the databases that have not been observed for long. */
    private hasRoomFor(
        service: string,
        entries: Map<string, PositionEntry>,
        { atMs }: ObservedPosition,
    ): boolean {
        if (entries.size >= maximumDatabases) {
            [...entries].filter(([, { observed }]) => observed.atMs < atMs - forgottenAfterMs)
                .forEach(([databaseId]) => entries.delete(databaseId));
        }
        return entries.size < maximumDatabases && (this.services.has(service) || this.services.size < maximumServices);
    }

    private recentlyLagging(service: string, nowMs: number): readonly (readonly [string, PositionEntry])[] {
        return [...this.services.get(service) ?? []].filter(([, { laggedAtMs }]) => nowMs - laggedAtMs < toldForMs);
    }
}
