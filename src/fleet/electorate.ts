/** The databases of a service that may hold its acknowledged commits, as recorded and as reported. */
import { type DatabaseReport, ReportedState } from "../model/fleetMessages.ts";
import type { RecordedDatabase } from "../model/promotion.ts";

/** A database that takes part in the choice of a new primary. */
export interface ElectorateMember extends RecordedDatabase {
    /** The database reports, does not shut down, and its data centre is not evacuated. */
    readonly isReady: boolean;
    /** Its data centre is evacuated; undefined if it is not. */
    readonly isEvacuated?: boolean | undefined;
    /** When the present process last reported; undefined if it has not reported to this leader. */
    readonly lastReportAtMs?: number | undefined;
}

/**
 * The recorded databases, updated by the reports to this process. A database is never dropped because it doesn't
 * report: it may be the only one with the last commits. One that starts at the address of another one under another id
 * replaces that one, because it continues its log. One that starts again under its id holds nothing of before: its
 * earlier process stays as a lost one.
 */
export function updateElectorate(
    recorded: readonly RecordedDatabase[],
    reports: readonly DatabaseReport[],
): readonly RecordedDatabase[] {
    const reportById = new Map(reports.map(report => [report.databaseId, report]));
    const reportedAddresses = new Set(reports.map(({ address }) => address));
    const lostById = new Map(
        recorded.filter(database => database.isLost || isEarlierProcess(database, reportById))
            .map(database => [database.databaseId, { ...database, isLost: true }]),
    );
    const unreported = recorded.filter(({ databaseId, address, isLost }) =>
        !isLost && !reportById.has(databaseId) && !reportedAddresses.has(address)
    );
    const reported = reports.map(({ databaseId, address, bornUnixMs }) => ({
        databaseId,
        address,
        bornUnixMs,
        isLost: false,
    }));
    return [...lostById.values(), ...unreported, ...reported];
}

/** Whether `left` and `right` are the same databases, in any order. */
export function isSameElectorate(left: readonly RecordedDatabase[], right: readonly RecordedDatabase[]): boolean {
    return left.length === right.length && left.every(database => right.some(other => isSame(database, other)));
}

export function electorateMembers(
    recorded: readonly RecordedDatabase[],
    reports: readonly DatabaseReport[],
): readonly ElectorateMember[] {
    const ready = new Set(
        reports.filter(({ state }) => state === ReportedState.Ready).map(({ databaseId }) => databaseId),
    );
    return updateElectorate(recorded, reports).map(database => ({
        ...database,
        isReady: !database.isLost && ready.has(database.databaseId),
    }));
}

function isEarlierProcess(
    { databaseId, bornUnixMs }: RecordedDatabase,
    reports: ReadonlyMap<string, DatabaseReport>,
): boolean {
    const report = reports.get(databaseId);
    return report !== undefined && bornUnixMs !== undefined && bornUnixMs < report.bornUnixMs;
}

function isSame(left: RecordedDatabase, right: RecordedDatabase): boolean {
    return left.databaseId === right.databaseId && left.address === right.address
        && left.bornUnixMs === right.bornUnixMs && left.isLost === right.isLost;
}
