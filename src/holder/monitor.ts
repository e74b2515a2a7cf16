/** Filter that knows the positions and the health of databases, over one monitoring connection for each. */
import { match, P } from "ts-pattern";
import {
    type BackendClosed,
    BackendKind,
    type BackendOpened,
    type BackendOpenFailed,
    type BackendPositionRead,
} from "../model/backendMessages.ts";
import { ClusterKind, type DatabasesChanged, type DatabaseView, type LeasesRenewed } from "../model/clusterMessages.ts";
import { DatabaseRole } from "../model/database.ts";
import { type DatabaseHealth, HolderHealthKind } from "../model/healthMessages.ts";
import {
    HolderPipeKind,
    type HolderPositionKnown,
    type HolderTimer,
    type HolderWatchPosition,
} from "../model/holderPipeMessages.ts";
import { clearDeadline, setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import type { HolderSettings } from "./holderSettings.ts";
import { LeaseTable } from "./leaseTable.ts";
import { MonitorTarget } from "./monitorTarget.ts";

export interface MonitorOptions {
    readonly settings: HolderSettings;
}

type LinkEvent = BackendOpened | BackendOpenFailed | BackendClosed | BackendPositionRead;
type MonitorInput =
    | LinkEvent
    | HolderWatchPosition
    | HolderTimer<typeof HolderPipeKind.MonitorTick | typeof HolderPipeKind.LeaseDue>
    | DatabasesChanged
    | LeasesRenewed;

/** Subject of the timer that reports health. */
const healthSubject = "";

export class Monitor implements Filter<MonitorInput, Message> {
    readonly step = "monitor";
    readonly accepts = [
        BackendKind.Opened,
        BackendKind.OpenFailed,
        BackendKind.Closed,
        BackendKind.PositionRead,
        HolderPipeKind.WatchPosition,
        HolderPipeKind.MonitorTick,
        HolderPipeKind.LeaseDue,
        ClusterKind.DatabasesChanged,
        ClusterKind.LeasesRenewed,
    ];
    private readonly settings: HolderSettings;
    private readonly leases = new LeaseTable();
    private readonly views = new Map<string, DatabaseView>();
    private readonly targets = new Map<string, MonitorTarget>();
    private readonly databaseByLink = new Map<string, string>();
    private healthTimerSet = false;
    private nextNumber = 0;

    constructor(options: MonitorOptions) {
        this.settings = options.settings;
    }

    process(message: MonitorInput, nowMs: number): readonly Message[] {
        return match(message)
            .with(
                {
                    kind: P.union(
                        BackendKind.Opened,
                        BackendKind.OpenFailed,
                        BackendKind.Closed,
                        BackendKind.PositionRead,
                    ),
                },
                event => this.linkEvent(event, nowMs),
            )
            .with(
                { kind: HolderPipeKind.WatchPosition },
                ({ watcher, databaseId, active }) => this.targets.get(databaseId)?.watch(watcher, active, nowMs) ?? [],
            )
            .with(
                { kind: HolderPipeKind.MonitorTick },
                ({ subject }) => subject === healthSubject ? this.reportAll(nowMs) : this.tick(subject, nowMs),
            )
            .with({ kind: HolderPipeKind.LeaseDue }, timer => [timer, ...this.choose(nowMs)])
            .with({ kind: ClusterKind.LeasesRenewed }, renewed => {
                this.leases.renew(renewed);
                return [renewed, ...this.choose(nowMs)];
            })
            .with({ kind: ClusterKind.DatabasesChanged }, changed => {
                this.views.clear();
                changed.databases.forEach(view => this.views.set(view.databaseId, view));
                return [changed, ...this.choose(nowMs)];
            })
            .exhaustive();
    }

    private linkEvent(event: LinkEvent, nowMs: number): readonly Message[] {
        const databaseId = this.databaseByLink.get(event.linkId);
        if (databaseId === undefined) {
            return [event];
        }
        if (event.kind === BackendKind.Closed || event.kind === BackendKind.OpenFailed) {
            this.databaseByLink.delete(event.linkId);
        }
        const target = this.targets.get(databaseId);
        return target?.linkId === event.linkId ? this.changeTarget(databaseId, target, event, nowMs) : [];
    }

    private changeTarget(
        databaseId: string,
        target: MonitorTarget,
        event: LinkEvent,
        nowMs: number,
    ): readonly Message[] {
        const failuresBefore = target.failures;
        const outputs = match(event)
            .with({ kind: BackendKind.Opened }, () => target.opened(nowMs))
            .with({ kind: BackendKind.OpenFailed }, () => target.openFailed(nowMs))
            .with({ kind: BackendKind.Closed }, () => target.closed(nowMs))
            .with({ kind: BackendKind.PositionRead }, read => this.positionRead(target, databaseId, read, nowMs))
            .exhaustive();
        return this.withHealth(databaseId, target, failuresBefore, outputs);
    }

    private positionRead(
        target: MonitorTarget,
        databaseId: string,
        { executionId, role, position }: BackendPositionRead,
        nowMs: number,
    ): readonly Message[] {
        const askedAtMs = target.answered(executionId, position);
        if (askedAtMs === undefined) {
            return [];
        }
        const known: HolderPositionKnown = {
            kind: HolderPipeKind.PositionKnown,
            databaseId,
            role,
            position,
            askedAtMs,
        };
        return [known, ...target.rest(nowMs)];
    }

    private tick(databaseId: string, nowMs: number): readonly Message[] {
        const target = this.targets.get(databaseId);
        if (target === undefined) {
            return [];
        }
        const failuresBefore = target.failures;
        return this.withHealth(databaseId, target, failuresBefore, target.tick(nowMs));
    }

    private withHealth(
        databaseId: string,
        target: MonitorTarget,
        failuresBefore: number,
        outputs: readonly Message[],
    ): readonly Message[] {
        this.noteLink(databaseId, target);
        return target.failures === failuresBefore ? outputs : [...outputs, ...this.report(databaseId, target)];
    }

    private noteLink(databaseId: string, target: MonitorTarget): void {
        if (target.linkId !== undefined) {
            this.databaseByLink.set(target.linkId, databaseId);
        }
    }

    private reportAll(nowMs: number): readonly Message[] {
        const reports = [...this.targets].flatMap(([databaseId, target]) => this.report(databaseId, target));
        return [...reports, this.healthTimer(nowMs)];
    }

    private healthTimer(nowMs: number): Message {
        this.healthTimerSet = true;
        const due: HolderTimer = { kind: HolderPipeKind.MonitorTick, subject: healthSubject };
        return setDeadline("holder.health", nowMs + this.settings.healthIntervalMs, due);
    }

    private report(databaseId: string, target: MonitorTarget): readonly DatabaseHealth[] {
        if (this.leases.epoch(databaseId) === undefined) {
            return [];
        }
        return [{
            kind: HolderHealthKind.DatabaseHealth,
            databaseId,
            reachable: target.failures === 0,
            consecutiveFailures: target.failures,
            lastPosition: target.lastPosition,
            lastPositionAtMs: target.lastPositionAtMs,
        }];
    }

    /** Starts and stops monitoring so that it covers the held databases and the replicas of held primaries. */
    private choose(nowMs: number): readonly Message[] {
        const wanted = this.wantedViews(nowMs);
        const dropped = [...this.targets.keys()].filter(databaseId => !wanted.has(databaseId));
        const closed = dropped.flatMap(databaseId => this.drop(databaseId));
        const started = [...wanted.values()].flatMap(view => this.cover(view, nowMs));
        const timer = this.healthTimerSet || wanted.size === 0 ? [] : [this.healthTimer(nowMs)];
        return [...closed, ...started, ...timer];
    }

    private wantedViews(nowMs: number): ReadonlyMap<string, DatabaseView> {
        const views = [...this.views.values()];
        const held = views.filter(view => this.leases.isValid(view.databaseId, nowMs));
        const groups = new Set(held.filter(view => view.role === DatabaseRole.Primary).map(view => view.groupId));
        const wanted = views.filter(view => held.includes(view) || groups.has(view.groupId));
        return new Map(wanted.map(view => [view.databaseId, view]));
    }

    private cover(view: DatabaseView, nowMs: number): readonly Message[] {
        const existing = this.targets.get(view.databaseId);
        if (existing !== undefined) {
            existing.update(view);
            return [];
        }
        const target = new MonitorTarget(view, this.settings, () => `monitor:${this.nextNumber++}`);
        this.targets.set(view.databaseId, target);
        const outputs = target.tick(nowMs);
        this.noteLink(view.databaseId, target);
        return outputs;
    }

    private drop(databaseId: string): readonly Message[] {
        const effects = this.targets.get(databaseId)?.close() ?? [];
        this.targets.delete(databaseId);
        return [...effects, clearDeadline(`holder.monitor:${databaseId}`)];
    }
}
