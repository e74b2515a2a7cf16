/** Filter that tracks and answers the floor of each caller on the held primaries. */
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
    type HolderPositionDue,
    type HolderPositionKnown,
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

/** Floors and position of one held primary. */
interface HeldPrimary {
    /**
     * Time at which this instance became the holder. A position that was queried earlier cannot become the base floor,
     * because the previous holder may have written since.
     */
    readonly takenOverAtMs: number;
    table: FloorTable | undefined;
    /** Writes that ran before the base floor was known. */
    readonly earlyWrites: { readonly callerId: string; readonly written: Position; }[];
    current: Position;
    currentAtMs: number;
    readonly waitingRequests: Map<string, HolderFloorRequest>;
}

type FloorDue = HolderPositionDue<typeof HolderPipeKind.FloorDue>;

type FloorsInput =
    | HolderFloorRequest
    | HolderExecuted
    | HolderPositionKnown
    | FloorDue
    | DatabasesChanged
    | LeasesRenewed;

/** Time for which a request waits for the base floor of a new holder; shorter than the waiting time of the caller. */
const baseFloorWaitMs = 500;

export class FloorsFilter implements Filter<FloorsInput, Message> {
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
    private readonly primaries = new Map<string, HeldPrimary>();

    constructor(options: FloorsOptions) {
        this.settings = options.settings;
    }

    process(message: FloorsInput, nowMs: number): readonly Message[] {
        return match(message)
            .with({ kind: HolderKind.FloorRequest }, request => this.handleRequest(request, nowMs))
            .with({ kind: HolderPipeKind.Executed }, executed => {
                this.recordWrite(executed);
                return [executed];
            })
            .with({ kind: HolderPipeKind.PositionKnown }, known => [known, ...this.updatePosition(known, nowMs)])
            .with({ kind: HolderPipeKind.FloorDue }, timer => this.expireRequest(timer))
            .with({ kind: ClusterKind.LeasesRenewed }, renewed => {
                const replies = this.leases.renew(renewed).flatMap(databaseId => this.removePrimary(databaseId));
                this.addHeldPrimaries(nowMs);
                return [renewed, ...replies];
            })
            .with({ kind: ClusterKind.DatabasesChanged }, changed => [changed, ...this.updateRoles(changed, nowMs)])
            .exhaustive();
    }

    private handleRequest(request: HolderFloorRequest, nowMs: number): readonly Message[] {
        const primary = this.primaries.get(request.databaseId);
        if (primary === undefined || !this.leases.isValid(request.databaseId, nowMs)) {
            return [createReply(request, undefined, originPosition, 0)];
        }
        if (primary.table !== undefined) {
            return [this.answer(request, primary, primary.table, nowMs)];
        }
        const key = `${request.origin}/${request.requestId}`;
        primary.waitingRequests.set(key, request);
        const due = { kind: HolderPipeKind.FloorDue, databaseId: request.databaseId, key } as Message;
        return [setDeadline(`holder.floor:${key}`, nowMs + baseFloorWaitMs, due)];
    }

    private answer(request: HolderFloorRequest, primary: HeldPrimary, table: FloorTable, nowMs: number): Message {
        const floors = request.callerIds.map(callerId => table.floorOf(callerId));
        return createReply(request, floors, primary.current, nowMs - primary.currentAtMs);
    }

    private recordWrite({ request, written }: HolderExecuted): void {
        const primary = this.primaries.get(request.databaseId);
        if (primary === undefined || written === undefined) {
            return;
        }
        if (primary.table === undefined) {
            primary.earlyWrites.push({ callerId: request.callerId, written });
        }
        else {
            primary.table.recordWrite(request.callerId, written);
        }
    }

    private updatePosition(known: HolderPositionKnown, nowMs: number): readonly Message[] {
        const primary = this.primaries.get(known.databaseId);
        if (primary === undefined || known.role !== DatabaseRole.Primary || known.askedAtMs < primary.takenOverAtMs) {
            return [];
        }
        if (known.askedAtMs >= primary.currentAtMs) {
            primary.current = laterPosition(primary.current, known.position);
            primary.currentAtMs = known.askedAtMs;
        }
        return primary.table === undefined ? this.createTable(known, primary, nowMs) : [];
    }

    private createTable(known: HolderPositionKnown, primary: HeldPrimary, nowMs: number): readonly Message[] {
        const table = new FloorTable(this.settings.maximumFloorEntries, known.position);
        primary.earlyWrites.forEach(({ callerId, written }) => table.recordWrite(callerId, written));
        primary.table = table;
        const waitingRequests = [...primary.waitingRequests];
        primary.waitingRequests.clear();
        const leaseIsValid = this.leases.isValid(known.databaseId, nowMs);
        return waitingRequests.flatMap(([key, request]) => [
            clearDeadline(`holder.floor:${key}`),
            leaseIsValid
                ? this.answer(request, primary, table, nowMs)
                : createReply(request, undefined, originPosition, 0),
        ]);
    }

    private expireRequest({ databaseId, key }: FloorDue): readonly Message[] {
        const waitingRequests = this.primaries.get(databaseId)?.waitingRequests;
        const request = waitingRequests?.get(key);
        waitingRequests?.delete(key);
        return request === undefined ? [] : [createReply(request, undefined, originPosition, 0)];
    }

    private updateRoles(changed: DatabasesChanged, nowMs: number): readonly Message[] {
        this.primaryIds.clear();
        changed.databases
            .filter(view => view.role === DatabaseRole.Primary)
            .forEach(view => this.primaryIds.add(view.databaseId));
        const demoted = [...this.primaries.keys()].filter(databaseId => !this.primaryIds.has(databaseId));
        const replies = demoted.flatMap(databaseId => this.removePrimary(databaseId));
        this.addHeldPrimaries(nowMs);
        return replies;
    }

    private addHeldPrimaries(nowMs: number): void {
        for (const databaseId of this.leases.databaseIds) {
            if (this.primaryIds.has(databaseId) && !this.primaries.has(databaseId)) {
                this.primaries.set(databaseId, {
                    takenOverAtMs: nowMs,
                    table: undefined,
                    earlyWrites: [],
                    current: originPosition,
                    currentAtMs: 0,
                    waitingRequests: new Map(),
                });
            }
        }
    }

    private removePrimary(databaseId: string): readonly Message[] {
        const waitingRequests = [...this.primaries.get(databaseId)?.waitingRequests ?? []];
        this.primaries.delete(databaseId);
        return waitingRequests.flatMap(([key, request]) => [
            clearDeadline(`holder.floor:${key}`),
            createReply(request, undefined, originPosition, 0),
        ]);
    }
}

function createReply(
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
