/**
 * Measures evacuations of the data centre of the primary on real processes:
 * `node --import tsx scripts/evacuationTimes.ts [--seed N] [--seeds COUNT] [--logs DIR]`.
 * Prints one JSON line a seed and a summary of those that ran, and ends with 1 if a bound or a rule was broken or a seed did
 * not run, with 2 if the arguments are wrong.
 */
import "disposablestack/auto";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { parseArgs } from "node:util";
import { SeededRandom } from "../src/pipeline/seededRandom.ts";
import { noRuleBroken } from "../standins/platform/ruleChecker.ts";
import { StatementWorld } from "./statementWorld.ts";

/** Time after the acknowledgement from which no statement may reach a database of the data centre. */
const boundMs = 5_000;

/** Time for which statements are counted after the order. */
const observedMs = boundMs + 3_000;

const baselineMs = 3_000;

/** Upper limit of a pause before the order, which differs between seeds. */
const maximumPauseMs = 1_000;

/** Statements are counted in such steps, and rates are those of a whole window. */
const stepMs = 100;
const windowSteps = 10;

const servedShare = 0.9;

interface Measurement {
    readonly seed: number;
    /** Time from the sending of the order to its acknowledgement. */
    readonly acknowledgedMs: number;
    /** Times of the last statement of a caller at the data centre; negative before the order or the acknowledgement. */
    readonly lastAfterOrderMs: number;
    readonly lastAfterAcknowledgementMs: number;
    readonly servedPerSecondBefore: number;
    readonly worstServedShare: number;
    /**
     * Time from the order to the first second, from the worst one on, in which nine tenths of the rate before are served; 0
     * if less was never served, undefined if they were not reached.
     */
    readonly recoveredAfterMs: number | undefined;
    readonly broken: readonly string[];
}

/** Rates in statements a second, of the windows that begin at each step. */
async function countServed(world: StatementWorld, durationMs: number): Promise<readonly number[]> {
    const samples = [{ atMs: performance.now(), count: world.checker.servedCount }];
    while (samples.at(-1)!.atMs - samples[0]!.atMs < durationMs) {
        await delay(stepMs);
        samples.push({ atMs: performance.now(), count: world.checker.servedCount });
    }
    return samples.slice(windowSteps).map(({ atMs, count }, index) => {
        const first = samples[index]!;
        return (count - first.count) / (atMs - first.atMs) * 1_000;
    });
}

function recoveryMs(shares: readonly number[]): number | undefined {
    const worst = Math.min(...shares);
    const index = shares.findIndex((share, at) => at >= shares.indexOf(worst) && share >= servedShare);
    return worst >= servedShare ? 0 : index < 0 ? undefined : index * stepMs;
}

async function measure(seed: number, logFolder: string | undefined): Promise<Measurement> {
    const options = { members: 3, proxies: 3, sessions: 9, seed };
    await using world = await StatementWorld.open(logFolder === undefined ? options : { ...options, logFolder });
    const primary = world.group.leader!;
    world.startClients();
    await delay(maximumPauseMs * (1 + new SeededRandom(seed).nextFloat()));
    const before = await countServed(world, baselineMs);
    const servedPerSecondBefore = before.reduce((sum, rate) => sum + rate, 0) / before.length;
    const orderedAtMs = performance.now();
    const counting = countServed(world, observedMs);
    const status = await world.cluster.orderEvacuation("Begin", primary.options.dataCentre);
    const acknowledgedAtMs = performance.now();
    const shares = (await counting).map(rate => rate / servedPerSecondBefore);
    const lastAfterAcknowledgementMs = primary.lastWorkAtMs - acknowledgedAtMs;
    const { broken, examples } = await world.finish();
    return {
        seed,
        acknowledgedMs: Math.round(acknowledgedAtMs - orderedAtMs),
        lastAfterOrderMs: Math.round(primary.lastWorkAtMs - orderedAtMs),
        lastAfterAcknowledgementMs: Math.round(lastAfterAcknowledgementMs),
        servedPerSecondBefore: Math.round(servedPerSecondBefore),
        worstServedShare: Number(Math.min(...shares).toFixed(3)),
        recoveredAfterMs: recoveryMs(shares),
        broken: [
            ...status === 200 ? [] : [`the order was answered with ${status}`],
            ...lastAfterAcknowledgementMs < boundMs ? [] : ["a statement after the bound"],
            ...world.group.leader === primary ? ["the primary was not replaced"] : [],
            ...JSON.stringify(broken) === JSON.stringify(noRuleBroken) ? [] : examples,
            ...world.cluster.unexpectedEnds,
        ],
    };
}

/** The median and the highest value; one that is missing counts as infinite, which JSON prints as null. */
function summarize(values: readonly (number | undefined)[]): { readonly p50: number; readonly worst: number; } {
    const sorted = values.map(value => value ?? Infinity).sort((left, right) => left - right);
    return { p50: sorted[Math.ceil(sorted.length / 2) - 1]!, worst: sorted.at(-1)! };
}

const { values } = parseArgs({
    options: {
        seed: { type: "string", default: "1" },
        seeds: { type: "string", default: "1" },
        logs: { type: "string" },
    },
});
const [firstSeed, count] = [Number(values.seed), Number(values.seeds)];
if (!(firstSeed >= 0 && count > 0)) {
    console.error("seeds are numbers");
    process.exit(2);
}

const measurements: Measurement[] = [];
for (let seed = firstSeed; seed < firstSeed + count; seed++) {
    const logFolder = values.logs === undefined ? undefined : join(values.logs, String(seed));
    try {
        const measurement = await measure(seed, logFolder);
        console.log(JSON.stringify(measurement));
        measurements.push(measurement);
    }
    catch (error) {
        console.log(JSON.stringify({ seed, notRun: (error as Error).message }));
    }
}
if (measurements.length === 0) {
    process.exit(1);
}
console.log(JSON.stringify({
    seeds: measurements.length,
    acknowledgedMs: summarize(measurements.map(({ acknowledgedMs }) => acknowledgedMs)),
    lastAfterOrderMs: summarize(measurements.map(({ lastAfterOrderMs }) => lastAfterOrderMs)),
    lastAfterAcknowledgementMs: summarize(measurements.map(each => each.lastAfterAcknowledgementMs)),
    recoveredAfterMs: summarize(measurements.map(({ recoveredAfterMs }) => recoveredAfterMs)),
}));
const isWhole = measurements.length === count && measurements.every(({ broken }) => broken.length === 0);
process.exit(isWhole ? 0 : 1);
