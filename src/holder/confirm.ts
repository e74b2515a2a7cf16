/** Filter that answers requests. It acknowledges a write only after a majority of the group has replicated it. */
import { match } from "ts-pattern";
import { ClusterKind, type DatabasesChanged, type DatabaseView, type LeasesRenewed } from "../model/clusterMessages.ts";
import { DatabaseRole } from "../model/database.ts";
import { HolderHealthKind, type HolderLeaseIdle } from "../model/healthMessages.ts";
import {
    type HolderConfirmationLag,
    type HolderExecuted,
    HolderPipeKind,
    type HolderPositionDue,
    type HolderPositionKnown,
    type HolderWatchPosition,
    type HolderWorkEnded,
} from "../model/holderPipeMessages.ts";
import type { Position } from "../model/position.ts";
import { RefusalCode } from "../model/refusal.ts";
import { clearDeadline, setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { createAnswer, refusedOutcome, requestKey } from "./answers.ts";
import type { HolderSettings } from "./holderSettings.ts";
import { LeaseTable } from "./leaseTable.ts";
import { MajorityTracker } from "./majorityTracker.ts";

export interface ConfirmOptions {
    readonly settings: HolderSettings;
}

/** A write that the primary has committed and a majority has not confirmed yet. */
interface PendingWrite {
    readonly executed: HolderExecuted;
    readonly written: Position;
    /** Epoch of the lease when the write ran. */
    readonly epoch: number | undefined;
    readonly executedAtMs: number;
}

type ConfirmDue = HolderPositionDue<typeof HolderPipeKind.ConfirmDue>;

type ConfirmInput =
    | HolderExecuted
    | HolderPositionKnown
    | HolderWorkEnded
    | ConfirmDue
    | DatabasesChanged
    | LeasesRenewed;

/** Shorter lags are not reported to admission, because they never decide whether a write is admitted. */
const minimumReportedLagMs = 5;

export class ConfirmFilter implements Filter<ConfirmInput, Message> {
    readonly step = "confirm";
    readonly accepts = [
        HolderPipeKind.Executed,
        HolderPipeKind.PositionKnown,
        HolderPipeKind.WorkEnded,
        HolderPipeKind.ConfirmDue,
        ClusterKind.DatabasesChanged,
        ClusterKind.LeasesRenewed,
    ];
    private readonly settings: HolderSettings;
    private readonly leases = new LeaseTable();
    private readonly majority = new MajorityTracker();
    private readonly views = new Map<string, DatabaseView>();
    /** Unconfirmed writes of each primary, by request key in order of arrival. */
    private readonly pendingWrites = new Map<string, Map<string, PendingWrite>>();
    private readonly lastLagsMs = new Map<string, number>();
    /** Draining databases; the filter reports `LeaseIdle` for them once no write is pending. */
    private readonly endingDatabases = new Set<string>();

    constructor(options: ConfirmOptions) {
        this.settings = options.settings;
    }

    process(message: ConfirmInput, nowMs: number): readonly Message[] {
        return match(message)
            .with({ kind: HolderPipeKind.Executed }, executed => this.handleExecuted(executed, nowMs))
            .with({ kind: HolderPipeKind.PositionKnown }, known => this.updatePosition(known, nowMs))
            .with({ kind: HolderPipeKind.ConfirmDue }, timer => this.expireWrite(timer, nowMs))
            .with({ kind: HolderPipeKind.WorkEnded }, ({ databaseId }) => {
                this.endingDatabases.add(databaseId);
                return this.reportIfIdle(databaseId);
            })
            .with({ kind: ClusterKind.LeasesRenewed }, renewed => {
                const changed = this.leases.renew(renewed);
                return [renewed, ...changed.flatMap(id => this.failPending(id, nowMs)), ...this.confirmAll(nowMs)];
            })
            .with({ kind: ClusterKind.DatabasesChanged }, changed => [changed, ...this.updateViews(changed, nowMs)])
            .exhaustive();
    }

    private handleExecuted(executed: HolderExecuted, nowMs: number): readonly Message[] {
        const { request, written } = executed;
        if (written === undefined) {
            return [createAnswer(request, executed.outcome, executed)];
        }
        const { databaseId } = request;
        const epoch = this.leases.epoch(databaseId);
        const databaseWrites = this.pendingWrites.get(databaseId) ?? new Map<string, PendingWrite>();
        this.pendingWrites.set(databaseId, databaseWrites);
        const key = requestKey(request);
        databaseWrites.set(key, { executed, written, epoch, executedAtMs: nowMs });
        const confirmed = this.confirmDatabase(databaseId, nowMs);
        if (!databaseWrites.has(key)) {
            return confirmed;
        }
        const limitMs = Math.max(nowMs, request.deadlineMs) + this.settings.confirmationLimitMs;
        const due = { kind: HolderPipeKind.ConfirmDue, databaseId, key } as Message;
        const watches = databaseWrites.size === 1 ? this.watchReplicas(databaseId, true) : [];
        return [...confirmed, setDeadline(`holder.confirm:${key}`, limitMs, due), ...watches];
    }

    private updatePosition(known: HolderPositionKnown, nowMs: number): readonly Message[] {
        const { databaseId, position } = known;
        this.majority.recordPosition(databaseId, position);
        const groupId = this.views.get(databaseId)?.groupId;
        return [...this.pendingWrites.keys()]
            .filter(primaryId => this.views.get(primaryId)?.groupId === groupId)
            .flatMap(primaryId => this.confirmDatabase(primaryId, nowMs));
    }

    private confirmAll(nowMs: number): readonly Message[] {
        return [...this.pendingWrites.keys()].flatMap(databaseId => this.confirmDatabase(databaseId, nowMs));
    }

    /** Acknowledges the writes that a majority has, or fails all pending ones when the primary has been replaced. */
    private confirmDatabase(databaseId: string, nowMs: number): readonly Message[] {
        const view = this.views.get(databaseId);
        const databaseWrites = this.pendingWrites.get(databaseId);
        const term = databaseWrites?.values().next().value?.written.term;
        if (view === undefined || databaseWrites === undefined || term === undefined) {
            return [];
        }
        const replicaIds = this.replicasOf(view);
        if (view.role !== DatabaseRole.Primary || this.majority.isPrimaryReplaced(term, replicaIds)) {
            return this.failPending(databaseId, nowMs);
        }
        // An expired lease may still be renewed with the same epoch, which proves that no other instance held it.
        if (!this.leases.isValid(databaseId, nowMs)) {
            return [];
        }
        const offset = this.majority.confirmedOffset(term, replicaIds, view.groupSize);
        const confirmed = [...databaseWrites.values()].filter(({ written }) =>
            written.term === term && written.offset <= offset
        );
        const answers = confirmed.flatMap(write => this.resolveWrite(databaseId, write, nowMs, write.executed.outcome));
        return [...answers, ...this.reportAge(databaseId, nowMs)];
    }

    /** Answers all pending writes of the database with an unknown outcome. */
    private failPending(databaseId: string, nowMs: number): readonly Message[] {
        const writes = [...this.pendingWrites.get(databaseId)?.values() ?? []];
        return writes.flatMap(write =>
            this.resolveWrite(
                databaseId,
                write,
                nowMs,
                this.unconfirmedOutcome(databaseId, "the primary or its holder changed"),
            )
        );
    }

    private expireWrite({ databaseId, key }: ConfirmDue, nowMs: number): readonly Message[] {
        const write = this.pendingWrites.get(databaseId)?.get(key);
        return write === undefined
            ? []
            : this.resolveWrite(
                databaseId,
                write,
                nowMs,
                this.unconfirmedOutcome(databaseId, "no majority has it yet"),
            );
    }

    private resolveWrite(
        databaseId: string,
        { executed, executedAtMs }: PendingWrite,
        nowMs: number,
        outcome: HolderExecuted["outcome"],
    ): readonly Message[] {
        const key = requestKey(executed.request);
        const databaseWrites = this.pendingWrites.get(databaseId)!;
        databaseWrites.delete(key);
        const idle = databaseWrites.size > 0
            ? []
            : [...this.watchReplicas(databaseId, false), ...this.reportIfIdle(databaseId)];
        return [
            clearDeadline(`holder.confirm:${key}`),
            createAnswer(executed.request, outcome, executed),
            ...this.reportLag(databaseId, nowMs - executedAtMs),
            ...idle,
        ];
    }

    private unconfirmedOutcome(databaseId: string, detail: string): HolderExecuted["outcome"] {
        return refusedOutcome(RefusalCode.Unconfirmed, this.step, { peer: databaseId, detail });
    }

    private reportLag(databaseId: string, lagMs: number): readonly HolderConfirmationLag[] {
        const lastMs = this.lastLagsMs.get(databaseId) ?? 0;
        this.lastLagsMs.set(databaseId, lagMs);
        return Math.max(lastMs, lagMs) < minimumReportedLagMs
            ? []
            : [{ kind: HolderPipeKind.ConfirmationLag, databaseId, lagMs }];
    }

    /**
     * Reports the age of the oldest pending write each time it has doubled, so that new writes are refused before that
     * write is confirmed or times out.
     */
    private reportAge(databaseId: string, nowMs: number): readonly HolderConfirmationLag[] {
        const oldest = this.pendingWrites.get(databaseId)?.values().next().value;
        const ageMs = oldest === undefined ? 0 : nowMs - oldest.executedAtMs;
        return ageMs > 2 * (this.lastLagsMs.get(databaseId) ?? 0) ? this.reportLag(databaseId, ageMs) : [];
    }

    private watchReplicas(databaseId: string, active: boolean): readonly HolderWatchPosition[] {
        const view = this.views.get(databaseId);
        return view === undefined
            ? []
            : this.replicasOf(view).map(replicaId => ({
                kind: HolderPipeKind.WatchPosition,
                watcher: `${this.step}:${databaseId}`,
                databaseId: replicaId,
                active,
            }));
    }

    private replicasOf(view: DatabaseView): readonly string[] {
        return [...this.views.values()]
            .filter(other => other.groupId === view.groupId && other.databaseId !== view.databaseId)
            .map(other => other.databaseId);
    }

    private reportIfIdle(databaseId: string): readonly HolderLeaseIdle[] {
        const isIdle = this.endingDatabases.has(databaseId) && (this.pendingWrites.get(databaseId)?.size ?? 0) === 0;
        return isIdle ? [{ kind: HolderHealthKind.LeaseIdle, databaseId }] : [];
    }

    private updateViews(changed: DatabasesChanged, nowMs: number): readonly Message[] {
        this.views.clear();
        changed.databases.forEach(view => this.views.set(view.databaseId, view));
        return this.confirmAll(nowMs);
    }
}
