import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { OutcomeKind } from "../../model/outcome.ts";
import { RefusalCode, refuse } from "../../model/refusal.ts";
import { ReportKind, type StatementEnded } from "../../model/reportMessages.ts";
import { BurnAlert, burnRate, mostUrgentAlert } from "../burnRates.ts";
import { buildBurnReport } from "../burnReport.ts";
import { OutcomeClass, zeroOutcomeCounts } from "../outcomeCounts.ts";
import { OutcomeRingBuffer } from "../outcomeRingBuffer.ts";
import { RecordOutcomesFilter } from "../recordOutcomes.ts";
import { renderHtml } from "../renderHtml.ts";
import { renderJson } from "../renderJson.ts";
import { renderText } from "../renderText.ts";
import { ServiceLevelSeries } from "../serviceLevelSeries.ts";

const minuteMs = 60_000;
const hourMs = 60 * minuteMs;
const targets = { objectiveShare: 0.99, waitingMs: 100, maximumAgeMs: 1_000 };

function endedStatement(parts: Partial<StatementEnded> & { readonly arrivedAtMs: number; }): StatementEnded {
    return {
        kind: ReportKind.StatementEnded,
        workspace: "shop",
        workClass: "orders",
        startedAtMs: parts.arrivedAtMs + 5,
        outcome: { kind: OutcomeKind.Done, affectedRows: 1, insertId: 0 },
        withinRate: true,
        targets,
        ...parts,
    };
}

function refusedWith(code: RefusalCode, withinRate = true): Partial<StatementEnded> {
    return {
        outcome: { kind: OutcomeKind.Refused, refusal: refuse(code, "test") },
        withinRate,
        startedAtMs: undefined,
    };
}

describe("burn report", () => {
    it("classifies outcomes and excludes refusals that the caller caused", () => {
        const recorder = new RecordOutcomesFilter();
        const cases: readonly Partial<StatementEnded>[] = [
            {},
            { startedAtMs: 101 },
            { dataAgeMs: 1_001 },
            refusedWith(RefusalCode.WaitExceeded),
            refusedWith(RefusalCode.RateExceeded, false),
            refusedWith(RefusalCode.AccessDenied),
            refusedWith(RefusalCode.Unconfirmed),
            { ...refusedWith(RefusalCode.DatabaseFailed), startedAtMs: 5 },
        ];
        cases.forEach(parts => recorder.process(endedStatement({ arrivedAtMs: 0, ...parts }), 200));
        const [orders] = buildBurnReport([recorder.snapshot("a", 200)], [], "").classes;
        assert.deepEqual(orders!.threeDays, { good: 2, late: 1, refused: 1, stale: 1, unknown: 1, excluded: 2 });
    });

    it("merges the snapshots of several instances to the result of a single one", () => {
        const statement = fc.record({
            atMs: fc.integer({ min: 0, max: 70 * hourMs }),
            waitMs: fc.constantFrom(1, 90, 400, 5_000),
            instance: fc.nat(2),
            workspace: fc.constantFrom("shop", "desk"),
        });
        fc.assert(
            fc.property(fc.array(statement, { maxLength: 60 }), statements => {
                const recorders = [0, 1, 2].map(() => new RecordOutcomesFilter());
                const singleRecorder = new RecordOutcomesFilter();
                for (const { atMs, waitMs, instance, workspace } of [...statements].sort((a, b) => a.atMs - b.atMs)) {
                    const message = endedStatement({ arrivedAtMs: atMs, startedAtMs: atMs + waitMs, workspace });
                    recorders[instance]!.process(message, atMs + waitMs);
                    singleRecorder.process(message, atMs + waitMs);
                }
                const snapshots = recorders.map((recorder, index) => recorder.snapshot(`${index}`, 70 * hourMs));
                const expected = buildBurnReport([singleRecorder.snapshot("0", 70 * hourMs)], [], "");
                assert.deepEqual(buildBurnReport(snapshots, [], "").classes, expected.classes);
            }),
            { seed: 5, numRuns: 40 },
        );
    });

    it("alerts only while the long and the short window both exceed the threshold", () => {
        const zeroRates = { "5m": 0, "30m": 0, "1h": 0, "6h": 0, "3d": 0 };
        assert.equal(mostUrgentAlert({ ...zeroRates, "5m": 15, "1h": 15 }), BurnAlert.Page);
        assert.equal(mostUrgentAlert({ ...zeroRates, "5m": 0, "1h": 15 }), BurnAlert.None);
        assert.equal(mostUrgentAlert({ ...zeroRates, "30m": 7, "6h": 7 }), BurnAlert.Page);
        assert.equal(mostUrgentAlert({ ...zeroRates, "6h": 2, "3d": 1.1 }), BurnAlert.Ticket);
        assert.equal(burnRate({ ...zeroOutcomeCounts, good: 98, late: 2 }, 0.99).toFixed(6), "2.000000");
    });

    it("drops outcomes that are older than the window", () => {
        const recorder = new RecordOutcomesFilter();
        recorder.process(endedStatement({ arrivedAtMs: 0, ...refusedWith(RefusalCode.NoPrimary) }), 0);
        const burnRatesAt = (nowMs: number) =>
            buildBurnReport([recorder.snapshot("a", nowMs)], [], "").classes[0]!.burn;
        assert.ok(burnRatesAt(4 * minuteMs)["5m"] > 0);
        assert.equal(burnRatesAt(5 * minuteMs)["5m"], 0);
        assert.ok(burnRatesAt(71 * hourMs)["3d"] > 0);
        assert.equal(burnRatesAt(72 * hourMs)["3d"], 0);
    });

    it("shifts a restored snapshot by its age when a restart has reset the monotonic clock", () => {
        const before = new RecordOutcomesFilter();
        before.process(endedStatement({ arrivedAtMs: 9 * hourMs, ...refusedWith(RefusalCode.NoPrimary) }), 9 * hourMs);
        const saved = JSON.parse(JSON.stringify(before.snapshot("a", 9 * hourMs))) as ReturnType<
            typeof before.snapshot
        >;
        const after = new RecordOutcomesFilter();
        after.restore(saved, 2 * hourMs, 1_000);
        const [orders] = buildBurnReport([after.snapshot("a", 1_000)], ["a", "b"], "").classes;
        assert.equal(orders!.burn["1h"], 0);
        assert.ok(orders!.burn["6h"] > 0);
        assert.deepEqual(orders!.causes, [{ workspace: "shop", outcome: OutcomeClass.Refused, count: 1 }]);
    });

    it("uses the memory that is documented for a series and limits the number of series", () => {
        assert.equal(new ServiceLevelSeries(targets, 0).byteLength, 13_344);
        assert.equal(new OutcomeRingBuffer(minuteMs, 60).byteLength, 60 * 24);
        const recorder = new RecordOutcomesFilter();
        for (let index = 0; index < 600; index++) {
            recorder.process(endedStatement({ arrivedAtMs: 0, workspace: `w${index}` }), 1);
        }
        assert.equal(recorder.snapshot("a", 1).series.length, 513);
    });

    it("renders within 100 columns, names missing instances and uses no external resources", () => {
        const recorder = new RecordOutcomesFilter();
        const workspace = `<img src="x">${"w".repeat(60)}`;
        const workClass = "paddock redemptions of a long name";
        for (const outcome of [RefusalCode.NoPrimary, RefusalCode.Unconfirmed]) {
            recorder.process(endedStatement({ arrivedAtMs: 0, workspace, workClass, ...refusedWith(outcome) }), 1);
        }
        const expected = Array.from({ length: 20 }, (_, index) => `instance${index}`);
        const report = buildBurnReport([recorder.snapshot("instance0", 1)], expected, "2030-01-01T00:00:00.000Z");
        assert.equal(report.missing.length, 19);
        const table = renderText(report);
        assert.ok(table.split("\n").every(line => line.length <= 100), table);
        assert.match(table, /instance19/);
        assert.deepEqual(JSON.parse(renderJson(report)), report);
        const html = renderHtml(report);
        assert.doesNotMatch(html, /<img|<script|<link|https?:|url\(/);
        assert.match(html, /<svg [^>]*>.*<rect class="refused"/);
    });

    it("shows the control characters of names as text, so that no name commands the terminal or adds a line", () => {
        const recorder = new RecordOutcomesFilter();
        const names = { workspace: "w\n\u001b[2J", workClass: "c\u009b2J\r\n" };
        recorder.process(endedStatement({ arrivedAtMs: 0, ...names, ...refusedWith(RefusalCode.NoPrimary) }), 1);
        const table = renderText(buildBurnReport([recorder.snapshot("a", 1)], ["i\u001b\n"], ""));

        assert.doesNotMatch(table, /[\u0000-\u0009\u000b-\u001f\u007f-\u009f]/);
        assert.equal(table.split("\n").length, 5);
    });
});
