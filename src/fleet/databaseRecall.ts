/**
 * On a proxy: after its start, asks control members for the databases that they remember, until one of them has named
 * some. A member that reports from databases has reached already needs nobody's memory.
 */
import {
    type DatabaseRecalled,
    type FleetFrame,
    FleetKind,
    type FrameReceived,
    type RecallEnded,
} from "../model/fleetMessages.ts";
import { setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { sendFrame } from "./attachments.ts";
import { recallLimitMs } from "./rememberedDatabases.ts";

/** Time for which a member may answer before the next one is asked; above the longest round trip. */
const answerTimeoutMs = 100;

/** Time after the first contact with a member in which members are asked. Later, databases have reported by themselves. */
const askingLimitMs = 5_000;

/**
 * What a member remembers may be outdated, which costs an attempt: a database that is gone does not answer, and one that
 * no longer leads refuses what needs the primary.
 */
export class DatabaseRecall implements Filter<FrameReceived, Message> {
    readonly step = "database_recall";
    readonly accepts = [FleetKind.FrameReceived];
    private firstStatusMs: number | undefined;
    private askedMs = -Infinity;
    private hasList = false;

    process(message: FrameReceived, nowMs: number): readonly Message[] {
        const { attachmentId, frame } = message;
        switch (frame.kind) {
            case "status":
                return [message, ...this.ask(attachmentId, nowMs)];
            case "remembered":
                return this.recall(frame, nowMs);
            default:
                return [message];
        }
    }

    private ask(attachmentId: string, nowMs: number): readonly Message[] {
        this.firstStatusMs ??= nowMs;
        if (this.hasList || nowMs - this.firstStatusMs > askingLimitMs || nowMs - this.askedMs < answerTimeoutMs) {
            return [];
        }
        this.askedMs = nowMs;
        return [sendFrame(attachmentId, { kind: "remembered_asked" })];
    }

    private recall({ reports }: Extract<FleetFrame, { kind: "remembered"; }>, nowMs: number): readonly Message[] {
        if (this.hasList || reports.length === 0) {
            return [];
        }
        this.hasList = true;
        const ended: RecallEnded = { kind: FleetKind.RecallEnded };
        return [
            ...reports.map((report): DatabaseRecalled => ({ kind: FleetKind.DatabaseRecalled, report })),
            setDeadline("fleet.recall", nowMs + recallLimitMs, ended),
        ];
    }
}
