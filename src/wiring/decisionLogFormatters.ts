/** Defines the fields of the log lines that tell why a database was made the primary of a service. */
import { comparePositions, type Position } from "../model/position.ts";
import type {
    DatabaseEvidence,
    DroppedDatabase,
    InstanceEvidence,
    LeaseEvidence,
    PromotionDatabaseDropped,
    PromotionDecided,
} from "../model/promotionDecision.ts";
import { PromotionKind, type PromotionOrder, type PromotionOrdered } from "../model/promotionMessages.ts";
import type { LineFormatter } from "../telemetry/eventLog.ts";
import { logLine } from "./logLine.ts";

/** Formatters by message kind for decisions on primaries; these lines must not be displaced by the load of that moment. */
export const decisionLogFormatters: ReadonlyMap<string, LineFormatter> = new Map([
    logLine<PromotionDecided>(PromotionKind.Decided, decided => ({
        service: decided.service,
        fence: decided.fence,
        stage: decided.stage,
        database: decided.databaseId,
        rule: decided.rule,
        formerPrimary: decided.formerPrimaryId,
        databases: decided.databases.map(databaseText).join(", "),
        instances: [...decided.instances].sort(byWeight).map(instanceText).join(", "),
        leases: decided.leases.map(leaseText).join(", "),
        dropped: decided.dropped.map(droppedText).join(", "),
    })),
    logLine<PromotionDatabaseDropped>(PromotionKind.DatabaseDropped, dropped => ({
        service: dropped.service,
        database: dropped.databaseId,
        address: dropped.address,
        reason: dropped.reason,
        bornUnixMs: dropped.bornUnixMs,
        successor: dropped.successorId,
    })),
    logLine<PromotionOrder>(PromotionKind.Order, ({ service, databaseId, fence }) => ({
        service,
        database: databaseId,
        fence,
    })),
    logLine<PromotionOrdered>(PromotionKind.Ordered, ({ service, databaseId, fence, result, elapsedMs }) => ({
        service,
        database: databaseId,
        fence,
        result,
        elapsedMs: elapsedMs === undefined ? undefined : Math.round(elapsedMs),
    })),
]);

/**
 * A service makes a few decisions a second, and up to ten calls to the platform with their answers while an earlier order has to
 * be superseded. Operators keep warnings of processes whose other lines they drop.
 */
export const decisionLog = { formatters: decisionLogFormatters, linesPerSecond: 500, level: "warn" } as const;

function databaseText(database: DatabaseEvidence): string {
    const { databaseId, state, hasLostLog, receivedPosition, bornUnixMs, stopProofAgeMs, reportAgeMs } = database;
    return [
        `${databaseId}:${state}${hasLostLog ? "+restarted" : ""}@${positionText(receivedPosition)}`,
        `born=${bornUnixMs ?? "-"}`,
        `stopProofAgeMs=${durationText(stopProofAgeMs)}`,
        `reportAgeMs=${durationText(reportAgeMs)}`,
        `reportsLead=${database.reportsLead ?? "-"}`,
    ].join(" ");
}

function instanceText({ instanceId, answerAgeMs, logEnd, reached }: InstanceEvidence): string {
    return answerAgeMs === undefined
        ? `${instanceId}:open`
        : `${instanceId}:closed answerAgeMs=${durationText(answerAgeMs)} logEnd=${positionText(logEnd)} reached=${
            positionText(reached)
        }`;
}

function leaseText({ instanceId, leftMs }: LeaseEvidence): string {
    return `${instanceId ?? "absent"} leftMs=${durationText(leftMs)}`;
}

function droppedText({ databaseId, reason, bornUnixMs }: DroppedDatabase): string {
    return `${databaseId}:${reason} born=${bornUnixMs ?? "-"}`;
}

/** A long value is cut at its end: instances that have not answered come first, then those that have seen the last commits. */
function byWeight(left: InstanceEvidence, right: InstanceEvidence): number {
    const openness = Number(left.answerAgeMs !== undefined) - Number(right.answerAgeMs !== undefined);
    if (openness !== 0 || left.logEnd === undefined || right.logEnd === undefined) {
        return openness || Number(left.logEnd === undefined) - Number(right.logEnd === undefined);
    }
    return comparePositions(right.logEnd, left.logEnd);
}

function positionText(position: Position | undefined): string {
    return position === undefined ? "-" : `${position.term}.${position.offset}`;
}

function durationText(durationMs: number | undefined): string {
    return durationMs === undefined || !Number.isFinite(durationMs) ? "-" : String(Math.round(durationMs));
}
