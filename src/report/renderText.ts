/** Renders the burn report as text for a terminal of 100 columns. */
import { escapeInvisible } from "../model/visibleText.ts";
import { type BurnWindow, burnWindows } from "./burnRates.ts";
import type { BurnReport, WorkClassReport } from "./burnReport.ts";

const lineWidth = 100;
const classColumnWidth = 22;
const maximumCauses = 3;

export function renderText(report: BurnReport): string {
    const missing = report.missing.length === 0 ? "none" : report.missing.map(escapeInvisible).join(", ");
    return [
        ...wrap(`burn report ${report.createdAt}; ${report.instances.length} instances; missing: ${missing}`),
        "",
        renderHeader(),
        ...report.classes.flatMap(renderWorkClass),
    ].join("\n");
}

function renderHeader(): string {
    const burnColumns = burnWindows.map(window => `burn ${window}`.padStart(9)).join("");
    return `${"class".padEnd(classColumnWidth)}${"goal %".padStart(8)}${burnColumns}${"left %".padStart(8)}${
        "p99 wait".padStart(10)
    }  alert`;
}

function renderWorkClass(report: WorkClassReport): readonly string[] {
    const burnColumns = burnWindows.map((window: BurnWindow) => formatRate(report.burn[window]).padStart(9)).join("");
    const row = `${truncate(escapeInvisible(report.workClass), classColumnWidth - 1).padEnd(classColumnWidth)}`
        + `${formatPercent(report.objectiveShare).padStart(8)}${burnColumns}${
            formatPercent(report.budgetLeft, 1).padStart(8)
        }`
        + `${`${report.waiting.p99Ms} ms`.padStart(10)}  ${report.alert}`;
    const causes = report.causes.slice(0, maximumCauses)
        .map(({ workspace, outcome, count }) => `${escapeInvisible(workspace)} ${outcome} ${count}`);
    return [row, ...causes.length === 0 ? [] : wrap(`  burned by: ${causes.join("; ")}`)];
}

/** Formats a burn rate with at most 7 characters, so that columns of 9 stay separate. */
function formatRate(value: number): string {
    return value >= 1_000 ? value.toExponential(1) : value.toFixed(value >= 100 ? 0 : 2);
}

function formatPercent(share: number, digits = 3): string {
    const text = (100 * share).toFixed(digits);
    return text.length > 7 ? (100 * share).toExponential(0) : text;
}

function truncate(text: string, length: number): string {
    return text.length <= length ? text : `${text.slice(0, length - 3)}...`;
}

function wrap(text: string): readonly string[] {
    const lines: string[] = [];
    let remaining = text;
    while (remaining.length > lineWidth) {
        const space = remaining.lastIndexOf(" ", lineWidth);
        const end = space > 4 ? space : lineWidth;
        lines.push(remaining.slice(0, end));
        remaining = `    ${remaining.slice(end).trimStart()}`;
    }
    return [...lines, remaining];
}
