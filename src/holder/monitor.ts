/** Filter that polls the position and health of databases, over one monitoring connection per database. */
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

/** `subject` of the timer that reports health; the other timers of this filter carry a database id. */
const healthTimerSubject = "";

export class MonitorFilter implements Filter<MonitorInput, Message> {
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
                event => this.handleLinkEvent(event, nowMs),
            )
            .with(
                { kind: HolderPipeKind.WatchPosition },
                ({ watcher, databaseId, active }) =>
                    this.targets.get(databaseId)?.setWatch(watcher, active, nowMs) ?? [],
            )
            .with(
                { kind: HolderPipeKind.MonitorTick },
                ({ subject }) =>
                    subject === healthTimerSubject ? this.reportAllHealth(nowMs) : this.tickTarget(subject, nowMs),
            )
            .with({ kind: HolderPipeKind.LeaseDue }, timer => [timer, ...this.updateTargets(nowMs)])
            .with({ kind: ClusterKind.LeasesRenewed }, renewed => {
                this.leases.renew(renewed);
                return [renewed, ...this.updateTargets(nowMs)];
            })
            .with({ kind: ClusterKind.DatabasesChanged }, changed => {
                this.views.clear();
                changed.databases.forEach(view => this.views.set(view.databaseId, view));
                return [changed, ...this.updateTargets(nowMs)];
            })
            .exhaustive();
    }

    private handleLinkEvent(event: LinkEvent, nowMs: number): readonly Message[] {
        const databaseId = this.databaseByLink.get(event.linkId);
        if (databaseId === undefined) {
            return [event];
        }
        if (event.kind === BackendKind.Closed || event.kind === BackendKind.OpenFailed) {
            this.databaseByLink.delete(event.linkId);
        }
        const target = this.targets.get(databaseId);
        return target?.linkId === event.linkId ? this.applyLinkEvent(databaseId, target, event, nowMs) : [];
    }

    private applyLinkEvent(
        databaseId: string,
        target: MonitorTarget,
        event: LinkEvent,
        nowMs: number,
    ): readonly Message[] {
        const failuresBefore = target.consecutiveFailures;
        const outputs = match(event)
            .with({ kind: BackendKind.Opened }, () => target.linkOpened(nowMs))
            .with({ kind: BackendKind.OpenFailed }, () => target.linkOpenFailed(nowMs))
            .with({ kind: BackendKind.Closed }, () => target.linkClosed(nowMs))
            .with({ kind: BackendKind.PositionRead }, read => this.handlePositionRead(target, databaseId, read, nowMs))
            .exhaustive();
        return this.appendHealthChange(databaseId, target, failuresBefore, outputs);
    }

    private handlePositionRead(
        target: MonitorTarget,
        databaseId: string,
        { executionId, role, position }: BackendPositionRead,
        nowMs: number,
    ): readonly Message[] {
        const askedAtMs = target.recordAnswer(executionId, position);
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
        return [known, ...target.scheduleNextRead(nowMs)];
    }

    private tickTarget(databaseId: string, nowMs: number): readonly Message[] {
        const target = this.targets.get(databaseId);
        if (target === undefined) {
            return [];
        }
        const failuresBefore = target.consecutiveFailures;
        return this.appendHealthChange(databaseId, target, failuresBefore, target.tick(nowMs));
    }

    private appendHealthChange(
        databaseId: string,
        target: MonitorTarget,
        failuresBefore: number,
        outputs: readonly Message[],
    ): readonly Message[] {
        this.trackLink(databaseId, target);
        return target.consecutiveFailures === failuresBefore
            ? outputs
            : [...outputs, ...this.reportHealth(databaseId, target)];
    }

    private trackLink(databaseId: string, target: MonitorTarget): void {
        if (target.linkId !== undefined) {
            this.databaseByLink.set(target.linkId, databaseId);
        }
    }

    private reportAllHealth(nowMs: number): readonly Message[] {
        const reports = [...this.targets].flatMap(([databaseId, target]) => this.reportHealth(databaseId, target));
        return [...reports, this.healthTimer(nowMs)];
    }

    private healthTimer(nowMs: number): Message {
        this.healthTimerSet = true;
        const due: HolderTimer = { kind: HolderPipeKind.MonitorTick, subject: healthTimerSubject };
        return setDeadline("holder.health", nowMs + this.settings.healthIntervalMs, due);
    }

    private reportHealth(databaseId: string, target: MonitorTarget): readonly DatabaseHealth[] {
        if (this.leases.epoch(databaseId) === undefined) {
            return [];
        }
        return [{
            kind: HolderHealthKind.DatabaseHealth,
            databaseId,
            reachable: target.consecutiveFailures === 0,
            consecutiveFailures: target.consecutiveFailures,
            lastPosition: target.lastPosition,
            lastPositionAtMs: target.lastPositionAtMs,
        }];
    }

    /** Starts and stops monitoring so that it covers the held databases and the groups of held primaries. */
    private updateTargets(nowMs: number): readonly Message[] {
        const wanted = this.viewsToMonitor(nowMs);
        const removed = [...this.targets.keys()].filter(databaseId => !wanted.has(databaseId));
        const closed = removed.flatMap(databaseId => this.removeTarget(databaseId));
        const started = [...wanted.values()].flatMap(view => this.addOrUpdateTarget(view, nowMs));
        const timer = this.healthTimerSet || wanted.size === 0 ? [] : [this.healthTimer(nowMs)];
        return [...closed, ...started, ...timer];
    }

    private viewsToMonitor(nowMs: number): ReadonlyMap<string, DatabaseView> {
        const views = [...this.views.values()];
        const held = views.filter(view => this.leases.isValid(view.databaseId, nowMs));
        const groups = new Set(held.filter(view => view.role === DatabaseRole.Primary).map(view => view.groupId));
        const wanted = views.filter(view => held.includes(view) || groups.has(view.groupId));
        return new Map(wanted.map(view => [view.databaseId, view]));
    }

    private addOrUpdateTarget(view: DatabaseView, nowMs: number): readonly Message[] {
        const existing = this.targets.get(view.databaseId);
        if (existing !== undefined) {
            existing.updateView(view);
            return [];
        }
        const target = new MonitorTarget(view, this.settings, () => `monitor:${this.nextNumber++}`);
        this.targets.set(view.databaseId, target);
        const outputs = target.tick(nowMs);
        this.trackLink(view.databaseId, target);
        return outputs;
    }

    private removeTarget(databaseId: string): readonly Message[] {
        const outputs = this.targets.get(databaseId)?.close() ?? [];
        this.targets.delete(databaseId);
        return [...outputs, clearDeadline(`holder.monitor:${databaseId}`)];
    }
}
