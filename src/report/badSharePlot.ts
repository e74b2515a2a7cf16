/** Renders the plot of the burn report as inline SVG without external resources. */
import { badOutcomeClasses, eligibleCount, type OutcomeClass, type OutcomeCounts } from "./outcomeCounts.ts";
import type { BucketCounts } from "./outcomeRingBuffer.ts";
import { coarseBucketCount, coarseBucketDurationMs } from "./serviceLevelSeries.ts";

const plotWidth = 720;
const plotHeight = 160;
const margin = { left: 52, right: 8, top: 8, bottom: 24 };
const innerWidth = plotWidth - margin.left - margin.right;
const innerHeight = plotHeight - margin.top - margin.bottom;
const bucketsPerDay = 86_400_000 / coarseBucketDurationMs;

/**
 * Plots the share of bad statements per half hour over three days, stacked by outcome. The dashed line is the share
 * that the objective allows.
 */
export function renderBadSharePlot(buckets: readonly BucketCounts[], objectiveShare: number): string {
    const allowedShare = 1 - objectiveShare;
    const highestShare = Math.max(...buckets.map(({ counts }) => badShare(counts)), 0);
    const maximumShare = Math.max(highestShare, 2 * allowedShare, 1e-6);
    const bars = buckets.flatMap(({ age, counts }) => renderStackedBar(age, counts, maximumShare));
    const allowedY = yOf(allowedShare, maximumShare);
    const allowedLine = `<line class="allowed" x1="${margin.left}" x2="${plotWidth - margin.right}" y1="${allowedY}" `
        + `y2="${allowedY}"/>`;
    return renderSvg("Bad share per half hour, last three days", [...renderAxes(maximumShare), ...bars, allowedLine]);
}

function renderStackedBar(age: number, counts: OutcomeCounts, maximumShare: number): readonly string[] {
    const eligible = eligibleCount(counts);
    const barWidth = innerWidth / coarseBucketCount;
    const x = margin.left + innerWidth - (age + 1) * barWidth;
    let stackedShare = 0;
    return badOutcomeClasses.filter(name => counts[name] > 0).map(name => {
        const share = counts[name] / eligible;
        const y = yOf(stackedShare + share, maximumShare);
        const height = yOf(stackedShare, maximumShare) - y;
        stackedShare += share;
        return renderRectangle(name, x, y, barWidth, height, `${name}: ${counts[name]} of ${eligible}`);
    });
}

function renderRectangle(
    name: OutcomeClass,
    x: number,
    y: number,
    width: number,
    height: number,
    title: string,
): string {
    return `<rect class="${name}" x="${round(x)}" y="${round(y)}" width="${round(width)}" height="${round(height)}">`
        + `<title>${title}</title></rect>`;
}

function renderAxes(maximumShare: number): readonly string[] {
    const bottom = margin.top + innerHeight;
    const shareLabels = [0, maximumShare / 2, maximumShare].map(share => {
        const y = yOf(share, maximumShare);
        return `<line class="grid" x1="${margin.left}" x2="${plotWidth - margin.right}" y1="${y}" y2="${y}"/>`
            + `<text x="${margin.left - 4}" y="${round(y + 4)}" text-anchor="end">${percentLabel(share)}</text>`;
    });
    const dayLabels = [0, 1, 2, 3].map(day => {
        const x = margin.left + innerWidth * (1 - day * bucketsPerDay / coarseBucketCount);
        const label = day === 0 ? "now" : `-${day} d`;
        const anchor = day === 0 ? "end" : day === 3 ? "start" : "middle";
        return `<text x="${round(x)}" y="${bottom + 16}" text-anchor="${anchor}">${label}</text>`;
    });
    return [...shareLabels, ...dayLabels];
}

function renderSvg(title: string, parts: readonly string[]): string {
    return `<svg viewBox="0 0 ${plotWidth} ${plotHeight}" role="img" aria-label="${title}">${parts.join("")}</svg>`;
}

function yOf(share: number, maximumShare: number): number {
    return round(margin.top + innerHeight * (1 - share / maximumShare));
}

function badShare(counts: OutcomeCounts): number {
    const eligible = eligibleCount(counts);
    return eligible === 0 ? 0 : badOutcomeClasses.reduce((sum, name) => sum + counts[name], 0) / eligible;
}

function percentLabel(share: number): string {
    return `${Number((100 * share).toPrecision(2))}%`;
}

function round(value: number): number {
    return Math.round(value * 100) / 100;
}
