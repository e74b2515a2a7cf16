/** Plain-text tables for a terminal. */
import { escapeControls } from "./terminalText.ts";

const columnGap = "  ";

/** Renders rows in columns under their headings; strings are left-aligned, numbers right-aligned. */
export function renderTable(headings: readonly string[], rows: readonly (readonly (string | number)[])[]): string {
    if (rows.length === 0) {
        return `${headings.join(columnGap)}\n(none)`;
    }
    const printedRows = rows.map(row => row.map(cell => typeof cell === "number" ? cell : escapeControls(cell)));
    const widths = headings.map((heading, column) =>
        printedRows.reduce((width, row) => Math.max(width, String(row[column] ?? "").length), heading.length)
    );
    const lines = [headings, ...printedRows].map(row =>
        row.map((cell, column) => align(cell, widths[column]!)).join(columnGap).trimEnd()
    );
    return lines.join("\n");
}

function align(cell: string | number, width: number): string {
    return typeof cell === "number" ? String(cell).padStart(width) : cell.padEnd(width);
}
