/** The databases of a service that may hold its acknowledged commits, as recorded and as reported. */
import { type DatabaseReport, ReportedState } from "../model/fleetMessages.ts";
import type { RecordedDatabase } from "../model/promotion.ts";

/** A database that takes part in the choice of a new primary. */
export interface ElectorateMember extends RecordedDatabase {
    /** The database reports, and does not shut down. */
    readonly isReady: boolean;
}

/**
 * The recorded databases, updated by the reports to this process. A database is never dropped because it doesn't
 * report: it may be the only one with the last commits. One that starts at the address of another one replaces that
 * one, because it continues its log.
 */
export function updateElectorate(
    recorded: readonly RecordedDatabase[],
    reports: readonly DatabaseReport[],
): readonly RecordedDatabase[] {
    const reportedIds = new Set(reports.map(({ databaseId }) => databaseId));
    const reportedAddresses = new Set(reports.map(({ address }) => address));
    const unreported = recorded.filter(({ databaseId, address }) =>
        !reportedIds.has(databaseId) && !reportedAddresses.has(address)
    );
    return [...unreported, ...reports.map(({ databaseId, address }) => ({ databaseId, address }))];
}

/** Whether `left` and `right` are the same databases, in any order. */
export function isSameElectorate(left: readonly RecordedDatabase[], right: readonly RecordedDatabase[]): boolean {
    return left.length === right.length
        && left.every(database =>
            right.some(({ databaseId, address }) => databaseId === database.databaseId && address === database.address)
        );
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
        isReady: ready.has(database.databaseId),
    }));
}
