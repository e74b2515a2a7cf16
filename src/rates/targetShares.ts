/** Division of a workspace's rate by demand, without regard to what is in force. */
import type { Share } from "./shareTable.ts";

/** Each data centre keeps this part of an equal share, so that its first work after a quiet time need not wait. */
const floorPart = 0.2;

/** Demand is met with this margin, because it is measured late and the home's refill stays below its share. */
const demandMargin = 1.3;

/** Divides `total` over the data centres: all demand with its margin and the rest equally, or max-min fair shares. */
export function targetShares(total: Share, wantedPerSecond: readonly number[]): readonly Share[] {
    const count = wantedPerSecond.length;
    const floor = floorPart * total.ratePerSecond / count;
    const wanted = wantedPerSecond.map(wantedHere => Math.max(floor, wantedHere * demandMargin));
    const sum = wanted.reduce((left, right) => left + right, 0);
    const rates = sum <= total.ratePerSecond
        ? wanted.map(wantedHere => wantedHere + (total.ratePerSecond - sum) / count)
        : maxMinFairShares(total.ratePerSecond, wanted);
    const bursts = apportionUnits(
        total.burst,
        rates.map(rate => total.ratePerSecond > 0 ? rate / total.ratePerSecond : 0),
    );
    return rates.map((ratePerSecond, index) => ({ ratePerSecond, burst: bursts[index]! }));
}

/** Gives each asker what it wants as far as no other gets less than it wants and less than this one. */
export function maxMinFairShares(supply: number, wanted: readonly number[]): readonly number[] {
    const result = wanted.map(() => 0);
    const order = wanted.map((_, index) => index).sort((left, right) => wanted[left]! - wanted[right]!);
    let left = supply;
    order.forEach((index, rank) => {
        result[index] = Math.min(wanted[index]!, left / (order.length - rank));
        left -= result[index]!;
    });
    return result;
}

/**
 * Splits whole units by weight. Each part gets one unit first where there are enough: a permit needs a whole token, so
 * that a burst share below one would shut its data centre out.
 */
export function apportionUnits(units: number, weights: readonly number[]): readonly number[] {
    const whole = Math.floor(units);
    const parts = weights.map((): number => whole >= weights.length ? 1 : 0);
    let left = whole - parts.reduce((sum, part) => sum + part, 0);
    const ideal = weights.map(weight => weight * left);
    ideal.forEach((part, index) => parts[index]! += Math.floor(part));
    left = whole - parts.reduce((sum, part) => sum + part, 0);
    const byRemainder = ideal.map((part, index) => ({ index, remainder: part % 1 }))
        .sort((first, second) => second.remainder - first.remainder || first.index - second.index);
    byRemainder.slice(0, left).forEach(({ index }) => parts[index]! += 1);
    return parts;
}
