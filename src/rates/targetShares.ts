/** Division of a workspace's rate by demand, regardless of the shares in force. */
import type { Share } from "./shareTable.ts";

/** Each data centre keeps this fraction of an equal share, so that its first statements after idling need not wait. */
const minimumEqualShareFraction = 0.2;

/** Factor applied to demand, which is measured with a delay and served by a refill that stays below the share. */
const demandMargin = 1.3;

/** Shares that cover all demand with its margin, plus equal parts of the rest; max-min fair if `total` is too low. */
export function targetShares(total: Share, wantedPerSecond: readonly number[]): readonly Share[] {
    const count = wantedPerSecond.length;
    const minimumPerSecond = minimumEqualShareFraction * total.ratePerSecond / count;
    const demands = wantedPerSecond.map(demandPerSecond => Math.max(minimumPerSecond, demandPerSecond * demandMargin));
    const sum = demands.reduce((left, right) => left + right, 0);
    const rates = sum <= total.ratePerSecond
        ? demands.map(demandPerSecond => demandPerSecond + (total.ratePerSecond - sum) / count)
        : maxMinFairShares(total.ratePerSecond, demands);
    const bursts = apportionUnits(
        total.burst,
        rates.map(rate => total.ratePerSecond > 0 ? rate / total.ratePerSecond : 0),
    );
    return rates.map((ratePerSecond, index) => ({ ratePerSecond, burst: bursts[index]! }));
}

/** Max-min fair division: a demand that is not met in full gets at least as much as every other one. */
export function maxMinFairShares(supply: number, wanted: readonly number[]): readonly number[] {
    const result = wanted.map(() => 0);
    const ascendingIndices = wanted.map((_, index) => index).sort((left, right) => wanted[left]! - wanted[right]!);
    let remaining = supply;
    ascendingIndices.forEach((index, rank) => {
        result[index] = Math.min(wanted[index]!, remaining / (ascendingIndices.length - rank));
        remaining -= result[index]!;
    });
    return result;
}

/**
 * Divides whole units by weight with the largest remainder method. If there are enough, each part gets one unit first:
 * a permit needs a whole token, so a data centre with a burst below one could admit nothing.
 */
export function apportionUnits(units: number, weights: readonly number[]): readonly number[] {
    const unitCount = Math.floor(units);
    const parts = weights.map((): number => unitCount >= weights.length ? 1 : 0);
    let remaining = unitCount - parts.reduce((sum, part) => sum + part, 0);
    const exactParts = weights.map(weight => weight * remaining);
    exactParts.forEach((part, index) => parts[index]! += Math.floor(part));
    remaining = unitCount - parts.reduce((sum, part) => sum + part, 0);
    const byRemainder = exactParts.map((part, index) => ({ index, remainder: part % 1 }))
        .sort((first, second) => second.remainder - first.remainder || first.index - second.index);
    byRemainder.slice(0, remaining).forEach(({ index }) => parts[index]! += 1);
    return parts;
}
