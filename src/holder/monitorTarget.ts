/** The monitoring connection of one database. */
import { BackendKind } from "../model/backendMessages.ts";
import type { DatabaseView } from "../model/clusterMessages.ts";
import { HolderPipeKind, type HolderTimer } from "../model/holderPipeMessages.ts";
import { originPosition, type Position } from "../model/position.ts";
import { setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Message } from "../pipeline/message.ts";
import type { HolderSettings } from "./holderSettings.ts";

const TargetState = {
    Closed: "closed",
    Opening: "opening",
    Idle: "idle",
    Reading: "reading",
} as const;
type TargetState = typeof TargetState[keyof typeof TargetState];

const minimumWatchIntervalMs = 2;
const maximumWatchIntervalMs = 20;
const watchIntervalGrowth = 1.5;

/** Time after a failed fresh connection at which the next one is tried; three failures take well under a second. */
const reopenDelayMs = 200;

export class MonitorTarget {
    linkId: string | undefined;
    lastPosition: Position | undefined;
    lastPositionAtMs = 0;
    /** Fresh connections in a row that could not be opened or gave no answer. */
    consecutiveFailures = 0;
    private view: DatabaseView;
    private readonly settings: HolderSettings;
    private readonly nextId: () => string;
    private readonly watchers = new Set<string>();
    private state: TargetState = TargetState.Closed;
    /** No position was read on the present connection yet. */
    private awaitsFirstRead = true;
    private executionId = "";
    private askedAtMs = 0;
    private watchIntervalMs = minimumWatchIntervalMs;

    constructor(view: DatabaseView, settings: HolderSettings, nextId: () => string) {
        this.view = view;
        this.settings = settings;
        this.nextId = nextId;
    }

    updateView(view: DatabaseView): void {
        this.view = view;
    }

    /** Opens the connection, asks for the position, or gives up a question without an answer. */
    tick(nowMs: number): readonly Message[] {
        if (this.state === TargetState.Closed) {
            return this.open();
        }
        if (this.state === TargetState.Idle) {
            return this.readPosition(nowMs);
        }
        const isOverdue = this.state === TargetState.Reading
            && nowMs - this.askedAtMs >= this.settings.probeTimeoutMs;
        return isOverdue ? this.replaceLink(nowMs) : [];
    }

    linkOpened(nowMs: number): readonly Message[] {
        this.state = TargetState.Idle;
        this.awaitsFirstRead = true;
        return this.readPosition(nowMs);
    }

    linkOpenFailed(nowMs: number): readonly Message[] {
        this.consecutiveFailures++;
        this.state = TargetState.Closed;
        this.linkId = undefined;
        return [this.timer(nowMs + reopenDelayMs)];
    }

    /** The connection ended. Only a fresh connection that fails counts against the database. */
    linkClosed(nowMs: number): readonly Message[] {
        const failed = this.awaitsFirstRead;
        this.state = TargetState.Closed;
        this.linkId = undefined;
        if (failed) {
            this.consecutiveFailures++;
            return [this.timer(nowMs + reopenDelayMs)];
        }
        return this.open();
    }

    /** Time at which the answered question was asked; undefined when the answer belongs to another question. */
    recordAnswer(executionId: string, position: Position): number | undefined {
        if (this.state !== TargetState.Reading || this.executionId !== executionId) {
            return undefined;
        }
        const last = this.lastPosition ?? originPosition;
        const advanced = position.term !== last.term || position.offset !== last.offset;
        this.watchIntervalMs = advanced
            ? minimumWatchIntervalMs
            : Math.min(maximumWatchIntervalMs, this.watchIntervalMs * watchIntervalGrowth);
        this.state = TargetState.Idle;
        this.awaitsFirstRead = false;
        this.consecutiveFailures = 0;
        this.lastPosition = position;
        this.lastPositionAtMs = this.askedAtMs;
        return this.askedAtMs;
    }

    /** Sets the time of the next question. */
    scheduleNextRead(nowMs: number): readonly Message[] {
        return [this.timer(nowMs + (this.watchers.size > 0 ? this.watchIntervalMs : this.settings.positionIntervalMs))];
    }

    setWatch(watcher: string, active: boolean, nowMs: number): readonly Message[] {
        if (!active) {
            this.watchers.delete(watcher);
            return [];
        }
        this.watchers.add(watcher);
        this.watchIntervalMs = minimumWatchIntervalMs;
        return this.state === TargetState.Idle ? this.readPosition(nowMs) : [];
    }

    close(): readonly Message[] {
        const { linkId } = this;
        this.linkId = undefined;
        return linkId === undefined ? [] : [{ kind: BackendKind.Close, linkId } as Message];
    }

    private open(): readonly Message[] {
        this.linkId = this.nextId();
        this.state = TargetState.Opening;
        this.awaitsFirstRead = true;
        const { databaseId, address } = this.view;
        const timeoutMs = this.settings.openTimeoutMs;
        return [{ kind: BackendKind.Open, linkId: this.linkId, databaseId, address, timeoutMs } as Message];
    }

    private readPosition(nowMs: number): readonly Message[] {
        this.state = TargetState.Reading;
        this.executionId = this.nextId();
        this.askedAtMs = nowMs;
        const { linkId, executionId } = this;
        const read = { kind: BackendKind.ReadPosition, linkId, executionId } as Message;
        return [read, this.timer(nowMs + this.settings.probeTimeoutMs)];
    }

    /** Gives up a silent connection. A fresh one is tried at once before the database is judged. */
    private replaceLink(nowMs: number): readonly Message[] {
        const closed = this.close();
        return [...closed, ...this.linkClosed(nowMs)];
    }

    private timer(atMs: number): Message {
        const { databaseId } = this.view;
        const due: HolderTimer = { kind: HolderPipeKind.MonitorTick, subject: databaseId };
        return setDeadline(`holder.monitor:${databaseId}`, atMs, due);
    }
}
