/** Filter that delays a read until the database has applied the read's floor. */
import { match } from "ts-pattern";
import { ClusterKind, type DatabasesChanged, type DatabaseView, type LeasesRenewed } from "../model/clusterMessages.ts";
import { DatabaseRole } from "../model/database.ts";
import { HolderKind, type HolderRequest } from "../model/holderMessages.ts";
import {
    HolderPipeKind,
    type HolderPositionDue,
    type HolderPositionKnown,
    type HolderWatchPosition,
} from "../model/holderPipeMessages.ts";
import { hasReached, type Position } from "../model/position.ts";
import { RefusalCode } from "../model/refusal.ts";
import { clearDeadline, setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { createAnswer, refusedOutcome, requestKey } from "./answers.ts";
import type { HolderSettings } from "./holderSettings.ts";
import { LeaseTable } from "./leaseTable.ts";

export interface FreshnessOptions {
    readonly settings: HolderSettings;
}

type FreshnessDue = HolderPositionDue<typeof HolderPipeKind.FreshnessDue>;

type FreshnessInput =
    | HolderRequest
    | HolderPositionKnown
    | FreshnessDue
    | DatabasesChanged
    | LeasesRenewed;

export class FreshnessFilter implements Filter<FreshnessInput, Message> {
    readonly step = "freshness";
    readonly accepts = [
        HolderKind.Request,
        HolderPipeKind.PositionKnown,
        HolderPipeKind.FreshnessDue,
        ClusterKind.DatabasesChanged,
        ClusterKind.LeasesRenewed,
    ];
    private readonly settings: HolderSettings;
    private readonly leases = new LeaseTable();
    private readonly views = new Map<string, DatabaseView>();
    private readonly positions = new Map<string, Position>();
    private readonly waitingRequests = new Map<string, Map<string, HolderRequest>>();

    constructor(options: FreshnessOptions) {
        this.settings = options.settings;
    }

    process(message: FreshnessInput, nowMs: number): readonly Message[] {
        return match(message)
            .with({ kind: HolderKind.Request }, request => this.passOrWait(request, nowMs))
            .with({ kind: HolderPipeKind.PositionKnown }, known => [known, ...this.updatePosition(known)])
            .with({ kind: HolderPipeKind.FreshnessDue }, timer => this.expireRequest(timer))
            .with({ kind: ClusterKind.DatabasesChanged }, changed => {
                this.updateViews(changed);
                return [changed];
            })
            .with({ kind: ClusterKind.LeasesRenewed }, renewed => {
                this.leases.renew(renewed);
                return [renewed];
            })
            .exhaustive();
    }

    private passOrWait(request: HolderRequest, nowMs: number): readonly Message[] {
        const { databaseId, floor } = request;
        // Without a lease, waiting is pointless: the next filter refuses the request.
        const leaseIsValid = this.leases.isValid(databaseId, nowMs);
        if (!leaseIsValid || floor === undefined || this.isReached(databaseId, floor)) {
            return [request];
        }
        const key = requestKey(request);
        const waitingRequests = this.waitingRequests.get(databaseId) ?? new Map<string, HolderRequest>();
        this.waitingRequests.set(databaseId, waitingRequests.set(key, request));
        const waitMs = Math.max(0, request.deadlineMs - nowMs) * this.settings.freshnessWaitShare;
        const due = { kind: HolderPipeKind.FreshnessDue, databaseId, key } as Message;
        return [
            setDeadline(`holder.freshness:${key}`, nowMs + waitMs, due),
            ...(waitingRequests.size === 1 ? [this.createWatch(databaseId, true)] : []),
        ];
    }

    // All writes of a group go through the primary, so it has reached every floor of its own and of earlier terms.
    private isReached(databaseId: string, floor: Position): boolean {
        const position = this.positions.get(databaseId);
        if (position === undefined) {
            return false;
        }
        const isPrimary = this.views.get(databaseId)?.role === DatabaseRole.Primary;
        return hasReached(position, floor) || (isPrimary && floor.term <= position.term);
    }

    private updatePosition({ databaseId, position }: HolderPositionKnown): readonly Message[] {
        this.positions.set(databaseId, position);
        const waitingRequests = this.waitingRequests.get(databaseId);
        if (waitingRequests === undefined) {
            return [];
        }
        const ready = [...waitingRequests].filter(([, request]) => this.isReached(databaseId, request.floor!));
        return ready.flatMap(([key, request]) => [...this.removeWaiting(databaseId, key), request]);
    }

    private expireRequest({ databaseId, key }: FreshnessDue): readonly Message[] {
        const request = this.waitingRequests.get(databaseId)?.get(key);
        if (request === undefined) {
            return [];
        }
        const outcome = refusedOutcome(RefusalCode.NoFreshReplica, this.step, { peer: databaseId });
        return [...this.removeWaiting(databaseId, key), createAnswer(request, outcome)];
    }

    private removeWaiting(databaseId: string, key: string): readonly Message[] {
        const waitingRequests = this.waitingRequests.get(databaseId)!;
        waitingRequests.delete(key);
        const isLast = waitingRequests.size === 0;
        if (isLast) {
            this.waitingRequests.delete(databaseId);
        }
        return [clearDeadline(`holder.freshness:${key}`), ...(isLast ? [this.createWatch(databaseId, false)] : [])];
    }

    private createWatch(databaseId: string, active: boolean): HolderWatchPosition {
        return { kind: HolderPipeKind.WatchPosition, watcher: this.step, databaseId, active };
    }

    private updateViews(changed: DatabasesChanged): void {
        this.views.clear();
        changed.databases.forEach(view => this.views.set(view.databaseId, view));
        for (const databaseId of this.positions.keys()) {
            if (!this.views.has(databaseId)) {
                this.positions.delete(databaseId);
            }
        }
    }
}
