/** The burn report for a terminal of 100 columns. */
import { type BurnWindow, burnWindows } from "./burnRates.ts";
import type { BurnReport, WorkClassReport } from "./burnReport.ts";

const lineWidth = 100;
const nameWidth = 22;
const causesShown = 3;

export function renderText(report: BurnReport): string {
    const missing = report.missing.length === 0 ? "none" : report.missing.join(", ");
    return [
        ...wrap(`burn report ${report.createdAt}; ${report.instances.length} instances; missing: ${missing}`),
        "",
        header(),
        ...report.classes.flatMap(describeClass),
    ].join("\n");
}

function header(): string {
    const burns = burnWindows.map(window => `burn ${window}`.padStart(9)).join("");
    return `${"class".padEnd(nameWidth)}${"goal %".padStart(8)}${burns}${"left %".padStart(8)}${
        "p99 wait".padStart(10)
    }  alert`;
}

function describeClass(report: WorkClassReport): readonly string[] {
    const burns = burnWindows.map((window: BurnWindow) => shortNumber(report.burn[window]).padStart(9)).join("");
    const row = `${shorten(report.workClass, nameWidth - 1).padEnd(nameWidth)}`
        + `${percent(report.objectiveShare).padStart(8)}${burns}${percent(report.budgetLeft, 1).padStart(8)}`
        + `${`${report.waiting.p99Ms} ms`.padStart(10)}  ${report.alert}`;
    const causes = report.causes.slice(0, causesShown)
        .map(({ workspace, outcome, count }) => `${workspace} ${outcome} ${count}`);
    return [row, ...causes.length === 0 ? [] : wrap(`  burned by: ${causes.join("; ")}`)];
}

/** At most 7 characters, so that columns keep apart. */
function shortNumber(value: number): string {
    return value >= 1_000 ? value.toExponential(1) : value.toFixed(value >= 100 ? 0 : 2);
}

function percent(share: number, digits = 3): string {
    const text = (100 * share).toFixed(digits);
    return text.length > 7 ? (100 * share).toExponential(0) : text;
}

function shorten(text: string, length: number): string {
    return text.length <= length ? text : `${text.slice(0, length - 3)}...`;
}

function wrap(text: string): readonly string[] {
    const lines: string[] = [];
    let rest = text;
    while (rest.length > lineWidth) {
        const space = rest.lastIndexOf(" ", lineWidth);
        const end = space > 4 ? space : lineWidth;
        lines.push(rest.slice(0, end));
        rest = `    ${rest.slice(end).trimStart()}`;
    }
    return [...lines, rest];
}
