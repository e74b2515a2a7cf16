/**
 * On a control member: keeps the list of databases for its disk, and after a start passes on those that have not reported
 * again. A database whose reports failed reports less and less often, so after a loss of power of all members it may run
 * for seconds without being known to anyone.
 */
import { match, P } from "ts-pattern";
import {
    type DatabaseChanged,
    type DatabaseLeft,
    type DatabaseListChanged,
    type DatabaseRemoved,
    type DatabaseReport,
    type DatabasesRemembered,
    FleetKind,
    type FleetTimer,
    type FrameReceived,
} from "../model/fleetMessages.ts";
import { setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { sendFrame } from "./attachments.ts";

/**
 * Time for which a database that does not report is remembered after a start; above the longest pause between two reports
 * after a failure.
 */
export const recallLimitMs = 30_000;

/** Minimum interval between two writes of the list, so that databases that start together cause few of them. */
const listIntervalMs = 1_000;

type RememberedInput =
    | DatabasesRemembered
    | DatabaseChanged
    | DatabaseRemoved
    | DatabaseLeft
    | FrameReceived
    | FleetTimer;

export class RememberedDatabases implements Filter<RememberedInput, Message> {
    readonly step = "remembered_databases";
    readonly accepts = [
        FleetKind.DatabasesRemembered,
        FleetKind.DatabaseChanged,
        FleetKind.DatabaseRemoved,
        FleetKind.DatabaseLeft,
        FleetKind.FrameReceived,
        FleetKind.DatabaseListDue,
    ];
    /** Databases that have reported since the start of this process, by id. */
    private readonly known = new Map<string, DatabaseReport>();
    /** Databases that have not, by id. */
    private readonly remembered = new Map<string, DatabaseReport>();
    private rememberedUntilMs = -Infinity;
    private isListDue = false;

    process(message: RememberedInput, nowMs: number): readonly Message[] {
        return match<RememberedInput, readonly Message[]>(message)
            .with({ kind: FleetKind.DatabasesRemembered }, matched => {
                this.rememberedUntilMs = nowMs + recallLimitMs;
                matched.reports.forEach(report => this.remembered.set(report.databaseId, report));
                return matched.reports.length === 0 ? [matched] : [matched, this.forgetLater()];
            })
            .with({ kind: FleetKind.DatabaseChanged }, matched => {
                this.confirm(matched.report);
                return [matched, ...this.writeLater(nowMs)];
            })
            .with({ kind: FleetKind.DatabaseRemoved }, matched => {
                this.known.delete(matched.databaseId);
                this.remembered.delete(matched.databaseId);
                return [matched, ...this.writeLater(nowMs)];
            })
            .with({ kind: FleetKind.DatabaseLeft }, matched => {
                return [matched, ...this.forget(matched.databaseId, matched.bornUnixMs, nowMs)];
            })
            .with({ kind: FleetKind.FrameReceived, frame: { kind: "database_left" } }, matched => {
                const { databaseId, bornUnixMs } = matched.frame;
                return [matched, ...this.forget(databaseId, bornUnixMs, nowMs)];
            })
            .with(
                { kind: FleetKind.FrameReceived, frame: { kind: "remembered_asked" } },
                matched => this.answer(matched.attachmentId, nowMs),
            )
            .with({ kind: FleetKind.FrameReceived, frame: P.any }, matched => [matched])
            .otherwise(() => this.write(nowMs));
    }

    /** A database at the address of a remembered one has taken its place. */
    private confirm(report: DatabaseReport): void {
        this.known.set(report.databaseId, report);
        [...this.remembered.values()]
            .filter(({ databaseId, address }) => databaseId === report.databaseId || address === report.address)
            .forEach(({ databaseId }) => this.remembered.delete(databaseId));
    }

    /** @param bornUnixMs start of the process that left; undefined if it is unknown */
    private forget(databaseId: string, bornUnixMs: number | undefined, nowMs: number): readonly Message[] {
        const report = this.remembered.get(databaseId);
        if (report === undefined || bornUnixMs !== undefined && bornUnixMs < report.bornUnixMs) {
            return [];
        }
        this.remembered.delete(databaseId);
        return this.writeLater(nowMs);
    }

    private answer(attachmentId: string, nowMs: number): readonly Message[] {
        const reports = this.unconfirmed(nowMs);
        return reports.length === 0 ? [] : [sendFrame(attachmentId, { kind: "remembered", reports })];
    }

    /** Without this write, one that is gone would be remembered again after each further start. */
    private forgetLater(): Message {
        const due: FleetTimer = { kind: FleetKind.DatabaseListDue };
        return setDeadline("fleet.remembered", this.rememberedUntilMs, due);
    }

    private writeLater(nowMs: number): readonly Message[] {
        if (this.isListDue) {
            return [];
        }
        this.isListDue = true;
        return [setDeadline("fleet.database_list", nowMs + listIntervalMs, { kind: FleetKind.DatabaseListDue })];
    }

    private write(nowMs: number): readonly Message[] {
        this.isListDue = false;
        const reports = [...this.known.values(), ...this.unconfirmed(nowMs)];
        return [{ kind: FleetKind.DatabaseListChanged, reports } as DatabaseListChanged];
    }

    private unconfirmed(nowMs: number): readonly DatabaseReport[] {
        return nowMs < this.rememberedUntilMs ? [...this.remembered.values()] : [];
    }
}
