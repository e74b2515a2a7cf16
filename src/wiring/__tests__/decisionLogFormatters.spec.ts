import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FleetKind } from "../../model/fleetMessages.ts";
import {
    DatabaseEvidenceState,
    DecisionStage,
    DropReason,
    type PromotionDecided,
    PromotionRule,
} from "../../model/promotionDecision.ts";
import { OrderResult, PromotionKind, type PromotionOrdered } from "../../model/promotionMessages.ts";
import { EffectLog } from "../../telemetry/effectLog.ts";
import { EventLog } from "../../telemetry/eventLog.ts";
import type { Logger } from "../../telemetry/logger.ts";
import { decisionLog, decisionLogFormatters } from "../decisionLogFormatters.ts";
import { requestLogFormatters, stateLogFormatters } from "../eventLogFormatters.ts";

const decided: PromotionDecided = {
    kind: PromotionKind.Decided,
    service: "s",
    fence: 7,
    stage: DecisionStage.Chosen,
    databaseId: "a",
    rule: PromotionRule.InstanceAnswers,
    formerPrimaryId: "p",
    databases: [
        {
            databaseId: "p",
            state: DatabaseEvidenceState.Lost,
            hasLostLog: false,
            receivedPosition: undefined,
            bornUnixMs: 1,
            stopProofAgeMs: undefined,
            reportAgeMs: undefined,
            reportsLead: undefined,
        },
        {
            databaseId: "a",
            state: DatabaseEvidenceState.Stopped,
            hasLostLog: true,
            receivedPosition: { term: 3, offset: 12 },
            bornUnixMs: undefined,
            stopProofAgeMs: 40.4,
            reportAgeMs: 900,
            reportsLead: false,
        },
    ],
    instances: [
        { instanceId: "i0", answerAgeMs: 9, logEnd: undefined, reached: undefined },
        { instanceId: "i1", answerAgeMs: 30, logEnd: { term: 3, offset: 11 }, reached: { term: 3, offset: 10 } },
        { instanceId: "i2", answerAgeMs: 20, logEnd: { term: 3, offset: 12 }, reached: { term: 3, offset: 12 } },
        { instanceId: "i3", answerAgeMs: undefined, logEnd: undefined, reached: undefined },
    ],
    leases: [{ instanceId: "i3", leftMs: -20 }, { instanceId: undefined, leftMs: -Infinity }],
    dropped: [{ databaseId: "p", reason: DropReason.Lost, bornUnixMs: 1 }],
};

describe("lines on decisions", () => {
    it("tell the rule and what each database and instance had, those first that matter most", () => {
        assert.deepEqual(decisionLogFormatters.get(decided.kind)!(decided), {
            service: "s",
            fence: 7,
            stage: "chosen",
            database: "a",
            rule: "instance_answers",
            formerPrimary: "p",
            databases: "p:lost@- born=1 stopProofAgeMs=- reportAgeMs=- reportsLead=-, "
                + "a:stopped+restarted@3.12 born=- stopProofAgeMs=40 reportAgeMs=900 reportsLead=false",
            instances: "i3:open, i2:closed answerAgeMs=20 logEnd=3.12 reached=3.12, "
                + "i1:closed answerAgeMs=30 logEnd=3.11 reached=3.10, i0:closed answerAgeMs=9 logEnd=- reached=-",
            leases: "i3 leftMs=-20, absent leftMs=-",
            dropped: "p:lost born=1",
        });
    });

    it("are warnings, and all written among 1,000 other lines in the same second", () => {
        // Guards against a record of warnings that does not tell why a database was chosen.
        const lines: string[] = [];
        const record = (level: string) => (event: string): number => lines.push(`${level} ${event}`);
        const logger = { info: record("info"), warn: record("warn") } as unknown as Logger;
        const others = [requestLogFormatters, stateLogFormatters].map(formatters =>
            new EventLog({ logger, formatters })
        );
        const effects = new EffectLog({
            logger,
            accepts: [PromotionKind.Decided, PromotionKind.Order],
            ...decisionLog,
        });
        const events = new EventLog({ logger, ...decisionLog });
        const order = { kind: PromotionKind.Order, service: "s", databaseId: "a", fence: 7 };
        const ordered = { ...order, kind: PromotionKind.Ordered, result: OrderResult.Accepted, elapsedMs: 5 };
        const suspected = { kind: FleetKind.DatabaseSuspected, databaseId: "d" };
        const ready = { kind: FleetKind.ReadinessChanged, ready: true };
        for (let index = 0; index < 1_000; index++) {
            const atMs = 5_000 + index / 2;
            [...others, events].forEach(log => [suspected, ready].forEach(message => log.onEvent(message, atMs)));
            if (index % 100 === 99) {
                [decided, order].forEach(message => effects.deliver(message, atMs));
                events.onEvent(ordered, atMs);
            }
        }
        const { Decided, Order, Ordered } = PromotionKind;
        const expected = Array.from({ length: 10 }, () => [Decided, Order, Ordered].map(kind => `warn ${kind}`)).flat();
        assert.deepEqual(lines.filter(text => text.startsWith("warn")), expected);
        assert.equal(lines.length - expected.length, 40);
    });

    it("tell how long the platform took to answer", () => {
        const ordered: PromotionOrdered = {
            kind: PromotionKind.Ordered,
            service: "s",
            databaseId: "a",
            fence: 7,
            result: OrderResult.Accepted,
            elapsedMs: 612.4,
        };
        assert.deepEqual(decisionLogFormatters.get(ordered.kind)!(ordered), {
            service: "s",
            database: "a",
            fence: 7,
            result: "accepted",
            elapsedMs: 612,
        });
    });
});
