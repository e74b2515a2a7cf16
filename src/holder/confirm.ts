/** Filter that answers; an acknowledgement of a write waits until a majority of the group has it. */
import { match } from "ts-pattern";
import { ClusterKind, type DatabasesChanged, type DatabaseView, type LeasesRenewed } from "../model/clusterMessages.ts";
import { DatabaseRole } from "../model/database.ts";
import { HolderHealthKind, type HolderLeaseIdle } from "../model/healthMessages.ts";
import {
    type HolderConfirmationLag,
    type HolderExecuted,
    HolderPipeKind,
    type HolderPositionKnown,
    type HolderTimer,
    type HolderWatchPosition,
    type HolderWorkEnded,
} from "../model/holderPipeMessages.ts";
import type { Position } from "../model/position.ts";
import { RefusalCode } from "../model/refusal.ts";
import { clearDeadline, setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { answerRequest, refused, requestKey } from "./answers.ts";
import type { HolderSettings } from "./holderSettings.ts";
import { LeaseTable } from "./leaseTable.ts";
import { Majority } from "./majority.ts";

export interface ConfirmOptions {
    readonly settings: HolderSettings;
}

/** A write that was committed and is not confirmed yet. */
interface Pending {
    readonly executed: HolderExecuted;
    readonly written: Position;
    /** Lease epoch under which the write ran. */
    readonly epoch: number | undefined;
    readonly sinceMs: number;
}

type ConfirmInput =
    | HolderExecuted
    | HolderPositionKnown
    | HolderWorkEnded
    | HolderTimer<typeof HolderPipeKind.ConfirmDue>
    | DatabasesChanged
    | LeasesRenewed;

/** Shorter confirmation times are not reported back: they never decide whether a write is admitted. */
const smallestReportedLagMs = 5;

export class Confirm implements Filter<ConfirmInput, Message> {
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
    private readonly majority = new Majority();
    private readonly views = new Map<string, DatabaseView>();
    /** For each primary, the writes that wait, by request key in order of arrival. */
    private readonly pending = new Map<string, Map<string, Pending>>();
    private readonly lagsMs = new Map<string, number>();
    /** Draining databases that report once nothing is pending. */
    private readonly ending = new Set<string>();

    constructor(options: ConfirmOptions) {
        this.settings = options.settings;
    }

    process(message: ConfirmInput, nowMs: number): readonly Message[] {
        return match(message)
            .with({ kind: HolderPipeKind.Executed }, executed => this.executed(executed, nowMs))
            .with({ kind: HolderPipeKind.PositionKnown }, known => this.positionKnown(known, nowMs))
            .with({ kind: HolderPipeKind.ConfirmDue }, timer => this.confirmDue(timer.subject, nowMs))
            .with({ kind: HolderPipeKind.WorkEnded }, ({ databaseId }) => {
                this.ending.add(databaseId);
                return this.reportIdle(databaseId);
            })
            .with({ kind: ClusterKind.LeasesRenewed }, renewed => {
                const changed = this.leases.renew(renewed);
                return [renewed, ...changed.flatMap(id => this.giveUp(id, nowMs)), ...this.confirmAll(nowMs)];
            })
            .with({ kind: ClusterKind.DatabasesChanged }, changed => [changed, ...this.updateViews(changed, nowMs)])
            .exhaustive();
    }

    private executed(executed: HolderExecuted, nowMs: number): readonly Message[] {
        const { request, written } = executed;
        if (written === undefined) {
            return [answerRequest(request, executed.outcome, executed)];
        }
        const { databaseId } = request;
        const epoch = this.leases.epoch(databaseId);
        const waiting = this.pending.get(databaseId) ?? new Map<string, Pending>();
        this.pending.set(databaseId, waiting);
        const key = requestKey(request);
        waiting.set(key, { executed, written, epoch, sinceMs: nowMs });
        const confirmed = this.confirmDatabase(databaseId, nowMs);
        if (!waiting.has(key)) {
            return confirmed;
        }
        const limitMs = Math.max(nowMs, request.deadlineMs) + this.settings.confirmationLimitMs;
        const due: HolderTimer = { kind: HolderPipeKind.ConfirmDue, subject: `${databaseId} ${key}` };
        const watch = waiting.size === 1 ? this.watch(databaseId, true) : [];
        return [...confirmed, setDeadline(`holder.confirm:${key}`, limitMs, due), ...watch];
    }

    private positionKnown(known: HolderPositionKnown, nowMs: number): readonly Message[] {
        const { databaseId, position } = known;
        this.majority.note(databaseId, position);
        const groupId = this.views.get(databaseId)?.groupId;
        return [...this.pending.keys()]
            .filter(primaryId => this.views.get(primaryId)?.groupId === groupId)
            .flatMap(primaryId => this.confirmDatabase(primaryId, nowMs));
    }

    private confirmAll(nowMs: number): readonly Message[] {
        return [...this.pending.keys()].flatMap(databaseId => this.confirmDatabase(databaseId, nowMs));
    }

    /** Acknowledges what a majority has, or gives up when the primary has been replaced. */
    private confirmDatabase(databaseId: string, nowMs: number): readonly Message[] {
        const view = this.views.get(databaseId);
        const waiting = this.pending.get(databaseId);
        const term = waiting?.values().next().value?.written.term;
        if (view === undefined || waiting === undefined || term === undefined) {
            return [];
        }
        const replicaIds = this.replicasOf(view);
        if (view.role !== DatabaseRole.Primary || this.majority.isReplaced(term, replicaIds)) {
            return this.giveUp(databaseId, nowMs);
        }
        // A lease that is late may still be renewed with the same epoch; then nobody else has held it.
        if (!this.leases.isValid(databaseId, nowMs)) {
            return [];
        }
        const offset = this.majority.confirmedOffset(term, replicaIds, view.groupSize);
        const confirmed = [...waiting.values()].filter(({ written }) =>
            written.term === term && written.offset <= offset
        );
        const answers = confirmed.flatMap(write => this.settle(databaseId, write, nowMs, write.executed.outcome));
        return [...answers, ...this.reportAge(databaseId, nowMs)];
    }

    /** Answers "outcome unknown" to everything that waits on the database. */
    private giveUp(databaseId: string, nowMs: number): readonly Message[] {
        const writes = [...this.pending.get(databaseId)?.values() ?? []];
        return writes.flatMap(write =>
            this.settle(databaseId, write, nowMs, this.unconfirmed(databaseId, "the primary or its holder changed"))
        );
    }

    private confirmDue(subject: string, nowMs: number): readonly Message[] {
        const databaseId = subject.slice(0, subject.indexOf(" "));
        const write = this.pending.get(databaseId)?.get(subject.slice(databaseId.length + 1));
        return write === undefined
            ? []
            : this.settle(databaseId, write, nowMs, this.unconfirmed(databaseId, "no majority has it yet"));
    }

    private settle(
        databaseId: string,
        { executed, sinceMs }: Pending,
        nowMs: number,
        outcome: HolderExecuted["outcome"],
    ): readonly Message[] {
        const key = requestKey(executed.request);
        const waiting = this.pending.get(databaseId)!;
        waiting.delete(key);
        const idle = waiting.size > 0 ? [] : [...this.watch(databaseId, false), ...this.reportIdle(databaseId)];
        return [
            clearDeadline(`holder.confirm:${key}`),
            answerRequest(executed.request, outcome, executed),
            ...this.reportLag(databaseId, nowMs - sinceMs),
            ...idle,
        ];
    }

    private unconfirmed(databaseId: string, detail: string): HolderExecuted["outcome"] {
        return refused(RefusalCode.Unconfirmed, this.step, { peer: databaseId, detail });
    }

    private reportLag(databaseId: string, lagMs: number): readonly HolderConfirmationLag[] {
        const lastMs = this.lagsMs.get(databaseId) ?? 0;
        this.lagsMs.set(databaseId, lagMs);
        return Math.max(lastMs, lagMs) < smallestReportedLagMs
            ? []
            : [{ kind: HolderPipeKind.ConfirmationLag, databaseId, lagMs }];
    }

    /** Reports the age of the oldest write while it keeps growing, so that new ones are refused before it ends. */
    private reportAge(databaseId: string, nowMs: number): readonly HolderConfirmationLag[] {
        const oldest = this.pending.get(databaseId)?.values().next().value;
        const ageMs = oldest === undefined ? 0 : nowMs - oldest.sinceMs;
        return ageMs > 2 * (this.lagsMs.get(databaseId) ?? 0) ? this.reportLag(databaseId, ageMs) : [];
    }

    private watch(databaseId: string, active: boolean): readonly HolderWatchPosition[] {
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

    private reportIdle(databaseId: string): readonly HolderLeaseIdle[] {
        const isIdle = this.ending.has(databaseId) && (this.pending.get(databaseId)?.size ?? 0) === 0;
        return isIdle ? [{ kind: HolderHealthKind.LeaseIdle, databaseId }] : [];
    }

    private updateViews(changed: DatabasesChanged, nowMs: number): readonly Message[] {
        this.views.clear();
        changed.databases.forEach(view => this.views.set(view.databaseId, view));
        return this.confirmAll(nowMs);
    }
}
