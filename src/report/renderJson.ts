/** Renders the burn report as JSON. */
import type { BurnReport } from "./burnReport.ts";

/** Returns one line of JSON with the fields of `BurnReport`. */
export function renderJson(report: BurnReport): string {
    return JSON.stringify(report);
}
