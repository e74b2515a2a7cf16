/** Renders a burn report from seeded data: `node --import tsx scripts/sampleReport.ts html|table|json > FILE`. */
import { OutcomeKind } from "../src/model/outcome.ts";
import { RefusalCode, refuse } from "../src/model/refusal.ts";
import { ReportKind, type StatementEnded } from "../src/model/reportMessages.ts";
import { SeededRandom } from "../src/pipeline/seededRandom.ts";
import { buildBurnReport } from "../src/report/burnReport.ts";
import { RecordOutcomesFilter } from "../src/report/recordOutcomes.ts";
import { renderHtml } from "../src/report/renderHtml.ts";
import { renderJson } from "../src/report/renderJson.ts";
import { renderText } from "../src/report/renderText.ts";

const endMs = 72 * 3_600_000;
const statementCount = 60_000;
const random = new SeededRandom(7);
const recorders = new Map(["instance0", "instance1"].map(id => [id, new RecordOutcomesFilter()]));

for (let index = 0; index < statementCount; index++) {
    const answeredAtMs = endMs * index / statementCount;
    [...recorders.values()][index % 2]!.process(createStatement(answeredAtMs), answeredAtMs);
}
const snapshots = [...recorders].map(([id, recorder]) => recorder.snapshot(id, endMs));
const report = buildBurnReport(snapshots, ["instance0", "instance1", "instance2"], "2030-01-01T00:00:00.000Z");
const renderers = { html: renderHtml, table: renderText, json: renderJson };
const format = (process.argv[2] ?? "table") as keyof typeof renderers;
process.stdout.write(`${renderers[format](report)}\n`);

/** Simulates a two-hour incident on the second day that refuses 30% of the counter orders; other failures are rare. */
function createStatement(answeredAtMs: number): StatementEnded {
    const isIncident = answeredAtMs > 30 * 3_600_000 && answeredAtMs < 32 * 3_600_000;
    const workClass = random.nextFloat() < 0.5 ? "counter orders" : "fitting lookups";
    const fails = random.nextFloat() < (isIncident && workClass === "counter orders" ? 0.3 : 0.0005);
    const waitingMs = -40 * Math.log(1 - random.nextFloat());
    const isSlow = random.nextFloat() < 0.0008;
    const arrivedAtMs = answeredAtMs - waitingMs - 6;
    return {
        kind: ReportKind.StatementEnded,
        workspace: `dealer${random.nextInteger(3)}`,
        workClass,
        arrivedAtMs: isSlow ? arrivedAtMs - 2_500 : arrivedAtMs,
        startedAtMs: fails ? undefined : answeredAtMs - 6,
        outcome: fails
            ? { kind: OutcomeKind.Refused, refusal: refuse(RefusalCode.WaitExceeded, "acquire") }
            : { kind: OutcomeKind.Done, affectedRows: 1, insertId: 0 },
        withinRate: true,
        targets: { objectiveShare: 0.999, waitingMs: 2_000, maximumAgeMs: 1_000 },
    };
}
