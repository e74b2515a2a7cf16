/** Directory of the databases that report to this process or to a control member that it is attached to. */
import { match, P } from "ts-pattern";
import {
    type DatabaseLeft,
    type DatabaseRecalled,
    type DatabaseReport,
    type DatabaseReportAccepted,
    type DatabaseReported,
    FleetKind,
    type FrameReceived,
    type PolicyApplied,
    type RecallEnded,
} from "../model/fleetMessages.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";

/** Maximum number of departed databases that are remembered; far above the departures of a fleet in one day. */
const maximumDeparted = 4_096;

/**
 * Silence of a database after which another process may report its address although it has started earlier, by a clock that
 * stepped back; above the longest pause between two reports after a failure.
 */
const successorSilenceMs = 10_000;

type DirectoryInput =
    | DatabaseReported
    | DatabaseLeft
    | DatabaseRecalled
    | RecallEnded
    | FrameReceived
    | PolicyApplied;

export class FleetDatabaseDirectory implements Filter<DirectoryInput, Message> {
    readonly step = "directory";
    readonly accepts = [
        FleetKind.DatabaseReported,
        FleetKind.DatabaseLeft,
        FleetKind.DatabaseRecalled,
        FleetKind.RecallEnded,
        FleetKind.FrameReceived,
        FleetKind.PolicyApplied,
    ];
    /** Names of the configured services. */
    private services: ReadonlySet<string> = new Set();
    private readonly reports = new Map<string, DatabaseReport>();
    /** When the last report of each database arrived. */
    private readonly reportedMs = new Map<string, number>();
    /** Databases that a control member remembers and that have not reported since. */
    private readonly recalledIds = new Set<string>();
    /**
     * Start times of departed databases, by id; a report of that process or an earlier one arrived late and is ignored.
     */
    private readonly departedStartUnixMs = new Map<string, number>();

    process(message: DirectoryInput, nowMs: number): readonly Message[] {
        return match<DirectoryInput, readonly Message[]>(message)
            .with({ kind: FleetKind.DatabaseReported }, matched => {
                const outputs = this.apply(matched.report, nowMs);
                return outputs.length === 0 ? [] : [...outputs, matched];
            })
            .with({ kind: FleetKind.DatabaseLeft }, matched => this.leave(matched))
            .with({ kind: FleetKind.DatabaseRecalled }, matched => this.recall(matched.report))
            .with({ kind: FleetKind.RecallEnded }, () => this.forgetRecalled())
            .with(
                { kind: FleetKind.FrameReceived, frame: { kind: "databases" } },
                matched => [...matched.frame.reports.flatMap(report => this.apply(report, nowMs)), matched],
            )
            .with(
                { kind: FleetKind.FrameReceived, frame: { kind: "database_left" } },
                matched => [...this.removeDeparted(matched.frame.databaseId, matched.frame.bornUnixMs), matched],
            )
            .with({ kind: FleetKind.FrameReceived, frame: P.any }, matched => [matched])
            .with({ kind: FleetKind.PolicyApplied }, matched => [...this.setServices(matched), matched])
            .exhaustive();
    }

    private apply(report: DatabaseReport, nowMs: number): readonly Message[] {
        const { databaseId } = report;
        const known = this.reports.get(databaseId);
        const departedStart = this.departedStartUnixMs.get(databaseId);
        if (departedStart !== undefined && report.bornUnixMs <= departedStart) {
            return [];
        }
        const isKnownNewer = known !== undefined && (this.recalledIds.has(databaseId)
            ? report.bornUnixMs < known.bornUnixMs
            : !isNewer(report, known));
        if (isKnownNewer || known === undefined && this.hasSuccessor(report, nowMs)) {
            // Several control members forward the same report, and one of a process that has ended may be late.
            return [];
        }
        this.recalledIds.delete(databaseId);
        this.departedStartUnixMs.delete(databaseId);
        this.reports.set(databaseId, report);
        this.reportedMs.set(databaseId, nowMs);
        const accepted: DatabaseReportAccepted = { kind: FleetKind.DatabaseReportAccepted, databaseId };
        const changed = known === undefined || hasChanged(report, known);
        return [
            accepted,
            ...changed ? [{ kind: FleetKind.DatabaseChanged, report } as Message] : [],
            ...known === undefined ? this.removePredecessor(report) : [],
        ];
    }

    private recall(report: DatabaseReport): readonly Message[] {
        const { databaseId, address, bornUnixMs } = report;
        const hasDeparted = (this.departedStartUnixMs.get(databaseId) ?? -Infinity) >= bornUnixMs;
        const isReplaced = [...this.reports.values()].some(other =>
            other.databaseId === databaseId || other.address === address
        );
        if (hasDeparted || isReplaced) {
            return [];
        }
        this.reports.set(databaseId, report);
        this.recalledIds.add(databaseId);
        return [{ kind: FleetKind.DatabaseChanged, report } as Message];
    }

    /** Not a departure: a database that reports after all is accepted. */
    private forgetRecalled(): readonly Message[] {
        const databaseIds = [...this.recalledIds];
        this.recalledIds.clear();
        databaseIds.forEach(databaseId => this.reports.delete(databaseId));
        return databaseIds.map(databaseId => ({ kind: FleetKind.DatabaseRemoved, databaseId } as Message));
    }

    /** Names the process that left, so that another one under the same id stays, whatever arrives first. */
    private leave(left: DatabaseLeft): readonly Message[] {
        const { databaseId } = left;
        const knownStart = this.reports.get(databaseId)?.bornUnixMs;
        const bornUnixMs = left.bornUnixMs ?? knownStart;
        return isOutdated(left.bornUnixMs, knownStart)
            ? []
            : [...this.removeDeparted(databaseId, bornUnixMs), { ...left, bornUnixMs } as DatabaseLeft];
    }

    private removeDeparted(databaseId: string, bornUnixMs: number | undefined): readonly Message[] {
        const knownStart = this.reports.get(databaseId)?.bornUnixMs;
        if (isOutdated(bornUnixMs, knownStart)) {
            return [];
        }
        const removed = this.remove(databaseId);
        if (bornUnixMs !== undefined) {
            this.recordDeparture(databaseId, bornUnixMs);
        }
        return removed;
    }

    private setServices({ policy }: PolicyApplied): readonly Message[] {
        const before = this.services;
        this.services = new Set(policy.services.keys());
        return [...this.reports.values()].filter(({ service }) => !before.has(service))
            .flatMap(report => this.removePredecessor(report));
    }

    /**
     * Removes a database whose address a newer database with another id reports. A report for an unknown service
     * removes nothing, because it may come from a different program.
     */
    private removePredecessor(report: DatabaseReport): readonly Message[] {
        if (!this.services.has(report.service)) {
            return [];
        }
        const predecessor = [...this.reports.values()].find(other => takesPlaceOf(report, other));
        return predecessor === undefined ? [] : this.remove(predecessor.databaseId);
    }

    /** Whether a process that started later reports the address. */
    private hasSuccessor(report: DatabaseReport, nowMs: number): boolean {
        return [...this.reports.values()].some(other =>
            takesPlaceOf(other, report) && this.services.has(other.service)
            && nowMs - (this.reportedMs.get(other.databaseId) ?? -Infinity) < successorSilenceMs
        );
    }

    private remove(databaseId: string): readonly Message[] {
        const known = this.reports.get(databaseId);
        if (known === undefined) {
            return [];
        }
        this.reports.delete(databaseId);
        this.reportedMs.delete(databaseId);
        this.recalledIds.delete(databaseId);
        this.recordDeparture(databaseId, known.bornUnixMs);
        return [{ kind: FleetKind.DatabaseRemoved, databaseId } as Message];
    }

    private recordDeparture(databaseId: string, bornUnixMs: number): void {
        const recordedStart = this.departedStartUnixMs.get(databaseId) ?? 0;
        this.departedStartUnixMs.set(databaseId, Math.max(recordedStart, bornUnixMs));
        if (this.departedStartUnixMs.size > maximumDeparted) {
            this.departedStartUnixMs.delete(this.departedStartUnixMs.keys().next().value!);
        }
    }
}

/** Whether a process started at the address of another one after that one. */
function takesPlaceOf(later: DatabaseReport, earlier: DatabaseReport): boolean {
    return later.address === earlier.address && later.databaseId !== earlier.databaseId
        && later.bornUnixMs > earlier.bornUnixMs;
}

/** Whether a departure is that of an earlier process than the known one. */
function isOutdated(departedStartUnixMs: number | undefined, knownStartUnixMs: number | undefined): boolean {
    return departedStartUnixMs !== undefined && knownStartUnixMs !== undefined
        && departedStartUnixMs < knownStartUnixMs;
}

function isNewer(report: DatabaseReport, previous: DatabaseReport): boolean {
    return report.bornUnixMs === previous.bornUnixMs
        ? report.sequence > previous.sequence
        : report.bornUnixMs > previous.bornUnixMs;
}

/** Whether a report differs from the previous one in more than its sequence. */
function hasChanged(report: DatabaseReport, previous: DatabaseReport): boolean {
    return report.address !== previous.address || report.state !== previous.state || report.leads !== previous.leads
        || report.slots !== previous.slots || report.bornUnixMs !== previous.bornUnixMs
        || report.service !== previous.service || isCold(report) !== isCold(previous);
}

function isCold({ coldLeftMs = 0 }: DatabaseReport): boolean {
    return coldLeftMs > 0;
}
