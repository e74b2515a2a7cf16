/** Renders the burn report as one HTML page without external resources, for light and dark colour schemes. */
import { renderBadSharePlot } from "./badSharePlot.ts";
import { burnWindows } from "./burnRates.ts";
import type { BurnReport, WorkClassReport } from "./burnReport.ts";
import { badOutcomeClasses } from "./outcomeCounts.ts";

const css = `
:root { color-scheme: light dark; --text: #1b1f24; --back: #ffffff; --line: #c9ced6; --late: #b26a00;
  --refused: #b3261e; --stale: #6a4bc4; --unknown: #00707a; }
@media (prefers-color-scheme: dark) { :root { --text: #e6e9ee; --back: #14171b; --line: #4a515b; --late: #f0a840;
  --refused: #ff8a80; --stale: #b9a4ff; --unknown: #5cc9d4; } }
body { font: 15px/1.45 system-ui, sans-serif; color: var(--text); background: var(--back); margin: 2rem auto;
  max-width: 60rem; padding: 0 1rem; }
table { border-collapse: collapse; } th, td { text-align: right; padding: .25rem .75rem; }
th, td { border-bottom: 1px solid var(--line); } th:first-child, td:first-child { text-align: left; }
svg { width: 100%; height: auto; } svg text { font-size: 11px; fill: var(--text); }
.grid { stroke: var(--line); } .allowed { stroke: var(--text); stroke-dasharray: 4 3; }
rect.late, .key.late { fill: var(--late); color: var(--late); }
rect.refused, .key.refused { fill: var(--refused); color: var(--refused); }
rect.stale, .key.stale { fill: var(--stale); color: var(--stale); }
rect.unknown, .key.unknown { fill: var(--unknown); color: var(--unknown); }
.page, .ticket, .missing { font-weight: bold; color: var(--refused); }
`;

export function renderHtml(report: BurnReport): string {
    const missing = report.missing.length === 0
        ? "<p>No instance is missing.</p>"
        : `<p class="missing">Missing instances: ${escapeHtml(report.missing.join(", "))}</p>`;
    return [
        "<!doctype html>",
        `<html lang="en"><head><meta charset="utf-8"><title>Burn report</title><style>${css}</style></head><body>`,
        `<h1>Burn report</h1><p>${escapeHtml(report.createdAt)}, ${report.instances.length} instances</p>`,
        missing,
        renderOverview(report.classes),
        ...report.classes.map(renderWorkClass),
        "</body></html>",
        "",
    ].join("\n");
}

function renderOverview(classes: readonly WorkClassReport[]): string {
    const headings = ["Class", "Goal", ...burnWindows.map(window => `Burn ${window}`), "Budget left", "Alert"];
    const rows = classes.map(report => [
        escapeHtml(report.workClass),
        `${(100 * report.objectiveShare).toFixed(3)}%`,
        ...burnWindows.map(window => report.burn[window].toFixed(2)),
        `${(100 * report.budgetLeft).toFixed(1)}%`,
        `<span class="${report.alert}">${report.alert}</span>`,
    ]);
    return renderTable(headings, rows);
}

function renderWorkClass(report: WorkClassReport): string {
    const { waiting, total } = report;
    const latencies = renderTable(["Time", "p50", "p90", "p99"], [
        ["until the start", ...[waiting.p50Ms, waiting.p90Ms, waiting.p99Ms].map(value => `${value} ms`)],
        ["until the answer", ...[total.p50Ms, total.p90Ms, total.p99Ms].map(value => `${value} ms`)],
    ]);
    const causes = report.causes.length === 0
        ? "<p>Nothing burned the budget.</p>"
        : renderTable(
            ["Workspace", "Outcome", "Statements"],
            report.causes.slice(0, 10).map(cause => [
                escapeHtml(cause.workspace),
                cause.outcome,
                `${cause.count}`,
            ]),
        );
    const legend = badOutcomeClasses.map(name => `<span class="key ${name}">&#9632; ${name}</span>`).join(" ");
    return `<h2>${escapeHtml(report.workClass)}</h2>${renderBadSharePlot(report.coarse, report.objectiveShare)}`
        + `<p>${legend}; dashed: allowed by the goal</p>${latencies}<h3>What burned it, last three days</h3>${causes}`;
}

/** @param rows cells as HTML that the caller has escaped */
function renderTable(headings: readonly string[], rows: readonly (readonly string[])[]): string {
    const headingCells = headings.map(cell => `<th>${cell}</th>`).join("");
    const body = rows.map(row => `<tr>${row.map(cell => `<td>${cell}</td>`).join("")}</tr>`).join("");
    return `<table><thead><tr>${headingCells}</tr></thead><tbody>${body}</tbody></table>`;
}

function escapeHtml(text: string): string {
    return text.replace(/&/g, "&amp;").replace(/</g, "&lt;").replace(/>/g, "&gt;").replace(/"/g, "&quot;");
}
