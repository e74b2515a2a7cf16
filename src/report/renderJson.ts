/** The burn report for programs. */
import type { BurnReport } from "./burnReport.ts";

/** One line of JSON in the shape of `BurnReport`. */
export function renderJson(report: BurnReport): string {
    return JSON.stringify(report);
}
