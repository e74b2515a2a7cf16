/** Filter that knows the floor of each caller on the held primaries. */
import { match } from "ts-pattern";
import { ClusterKind, type DatabasesChanged, type LeasesRenewed } from "../model/clusterMessages.ts";
import { DatabaseRole } from "../model/database.ts";
import {
    type HolderFloorAnswer,
    type HolderFloorReply,
    type HolderFloorRequest,
    HolderKind,
} from "../model/holderMessages.ts";
import {
    type HolderExecuted,
    HolderPipeKind,
    type HolderPositionKnown,
    type HolderTimer,
} from "../model/holderPipeMessages.ts";
import { laterPosition, originPosition, type Position } from "../model/position.ts";
import { clearDeadline, setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { FloorTable } from "./floorTable.ts";
import type { HolderSettings } from "./holderSettings.ts";
import { LeaseTable } from "./leaseTable.ts";

export interface FloorsOptions {
    readonly settings: HolderSettings;
}

/** What is known of one held primary. */
interface Primary {
    /** Position questions asked before this time say nothing about the base floor. */
    readonly takenOverMs: number;
    table: FloorTable | undefined;
    /** Writes that were executed before the base floor was known. */
    readonly early: { readonly callerId: string; readonly written: Position; }[];
    current: Position;
    currentAtMs: number;
    readonly waiting: Map<string, HolderFloorRequest>;
}

type FloorsInput =
    | HolderFloorRequest
    | HolderExecuted
    | HolderPositionKnown
    | HolderTimer<typeof HolderPipeKind.FloorDue>
    | DatabasesChanged
    | LeasesRenewed;

/** Time for which a question waits for the base floor after a takeover; the caller's own waiting time is longer. */
const baseWaitMs = 500;

export class Floors implements Filter<FloorsInput, Message> {
    readonly step = "floors";
    readonly accepts = [
        HolderKind.FloorRequest,
        HolderPipeKind.Executed,
        HolderPipeKind.PositionKnown,
        HolderPipeKind.FloorDue,
        ClusterKind.DatabasesChanged,
        ClusterKind.LeasesRenewed,
    ];
    private readonly settings: HolderSettings;
    private readonly leases = new LeaseTable();
    private readonly primaryIds = new Set<string>();
    private readonly primaries = new Map<string, Primary>();

    constructor(options: FloorsOptions) {
        this.settings = options.settings;
    }

    process(message: FloorsInput, nowMs: number): readonly Message[] {
        return match(message)
            .with({ kind: HolderKind.FloorRequest }, request => this.ask(request, nowMs))
            .with({ kind: HolderPipeKind.Executed }, executed => {
                this.noteWritten(executed);
                return [executed];
            })
            .with({ kind: HolderPipeKind.PositionKnown }, known => [known, ...this.positionKnown(known, nowMs)])
            .with({ kind: HolderPipeKind.FloorDue }, timer => this.giveUp(timer.subject))
            .with({ kind: ClusterKind.LeasesRenewed }, renewed => {
                const forgotten = this.leases.renew(renewed).flatMap(databaseId => this.forget(databaseId));
                this.takeOver(nowMs);
                return [renewed, ...forgotten];
            })
            .with({ kind: ClusterKind.DatabasesChanged }, changed => [changed, ...this.updateRoles(changed, nowMs)])
            .exhaustive();
    }

    private ask(request: HolderFloorRequest, nowMs: number): readonly Message[] {
        const primary = this.primaries.get(request.databaseId);
        if (primary === undefined || !this.leases.isValid(request.databaseId, nowMs)) {
            return [reply(request, undefined, originPosition, 0)];
        }
        if (primary.table !== undefined) {
            return [this.answer(request, primary, primary.table, nowMs)];
        }
        const key = `${request.origin}/${request.requestId}`;
        primary.waiting.set(key, request);
        const due: HolderTimer = { kind: HolderPipeKind.FloorDue, subject: `${request.databaseId} ${key}` };
        return [setDeadline(`holder.floor:${key}`, nowMs + baseWaitMs, due)];
    }

    private answer(request: HolderFloorRequest, primary: Primary, table: FloorTable, nowMs: number): Message {
        const floors = request.callerIds.map(callerId => table.floorOf(callerId));
        return reply(request, floors, primary.current, nowMs - primary.currentAtMs);
    }

    private noteWritten({ request, written }: HolderExecuted): void {
        const primary = this.primaries.get(request.databaseId);
        if (primary === undefined || written === undefined) {
            return;
        }
        if (primary.table === undefined) {
            primary.early.push({ callerId: request.callerId, written });
        }
        else {
            primary.table.note(request.callerId, written);
        }
    }

    private positionKnown(known: HolderPositionKnown, nowMs: number): readonly Message[] {
        const primary = this.primaries.get(known.databaseId);
        if (primary === undefined || known.role !== DatabaseRole.Primary || known.askedAtMs < primary.takenOverMs) {
            return [];
        }
        if (known.askedAtMs >= primary.currentAtMs) {
            primary.current = laterPosition(primary.current, known.position);
            primary.currentAtMs = known.askedAtMs;
        }
        return primary.table === undefined ? this.startTable(known, primary, nowMs) : [];
    }

    private startTable(known: HolderPositionKnown, primary: Primary, nowMs: number): readonly Message[] {
        const table = new FloorTable(this.settings.floorEntries, known.position);
        primary.early.forEach(({ callerId, written }) => table.note(callerId, written));
        primary.table = table;
        const waiting = [...primary.waiting];
        primary.waiting.clear();
        const proved = this.leases.isValid(known.databaseId, nowMs);
        return waiting.flatMap(([key, request]) => [
            clearDeadline(`holder.floor:${key}`),
            proved
                ? this.answer(request, primary, table, nowMs)
                : reply(request, undefined, originPosition, 0),
        ]);
    }

    private giveUp(subject: string): readonly Message[] {
        const databaseId = subject.slice(0, subject.indexOf(" "));
        const waiting = this.primaries.get(databaseId)?.waiting;
        const key = subject.slice(databaseId.length + 1);
        const request = waiting?.get(key);
        waiting?.delete(key);
        return request === undefined ? [] : [reply(request, undefined, originPosition, 0)];
    }

    private updateRoles(changed: DatabasesChanged, nowMs: number): readonly Message[] {
        this.primaryIds.clear();
        changed.databases
            .filter(view => view.role === DatabaseRole.Primary)
            .forEach(view => this.primaryIds.add(view.databaseId));
        const demoted = [...this.primaries.keys()].filter(databaseId => !this.primaryIds.has(databaseId));
        const forgotten = demoted.flatMap(databaseId => this.forget(databaseId));
        this.takeOver(nowMs);
        return forgotten;
    }

    private takeOver(nowMs: number): void {
        for (const databaseId of this.leases.databaseIds) {
            if (this.primaryIds.has(databaseId) && !this.primaries.has(databaseId)) {
                this.primaries.set(databaseId, {
                    takenOverMs: nowMs,
                    table: undefined,
                    early: [],
                    current: originPosition,
                    currentAtMs: 0,
                    waiting: new Map(),
                });
            }
        }
    }

    private forget(databaseId: string): readonly Message[] {
        const waiting = [...this.primaries.get(databaseId)?.waiting ?? []];
        this.primaries.delete(databaseId);
        return waiting.flatMap(([key, request]) => [
            clearDeadline(`holder.floor:${key}`),
            reply(request, undefined, originPosition, 0),
        ]);
    }
}

function reply(
    { origin, requestId }: HolderFloorRequest,
    floors: readonly Position[] | undefined,
    current: Position,
    currentAgeMs: number,
): HolderFloorAnswer | HolderFloorReply {
    const body = { requestId, floors, current, currentAgeMs };
    return origin === ""
        ? { ...body, kind: HolderKind.FloorAnswer }
        : { ...body, kind: HolderKind.FloorReply, origin };
}
