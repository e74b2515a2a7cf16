/**
 * Plays seeded faults on the processes of the users' platform:
 * `npm run soak -- [--seed N] [--seeds COUNT] [--scale small|usual|large] [--only KIND,KIND] [--logs DIR]`.
 * Prints one JSON line a seed, and ends with 1 if a promise was broken, with 2 if the arguments are wrong.
 */
import "disposablestack/auto";
import { join } from "node:path";
import { parseArgs } from "node:util";
import { runSoak } from "./soakRun.ts";
import { drawSchedule, FaultKind, scales } from "./soakSchedule.ts";

const { values } = parseArgs({
    options: {
        seed: { type: "string", default: "1" },
        seeds: { type: "string", default: "1" },
        scale: { type: "string", default: "small" },
        only: { type: "string" },
        logs: { type: "string" },
    },
});
const scale = scales[values.scale];
const chosen = values.only?.split(",") ?? [];
const only = Object.values(FaultKind).filter(kind => chosen.includes(kind));
const [firstSeed, count] = [Number(values.seed), Number(values.seeds)];
if (scale === undefined || only.length < chosen.length || !(firstSeed >= 0 && count > 0)) {
    const kinds = Object.values(FaultKind).join(", ");
    console.error(`scales: ${Object.keys(scales).join(", ")}; kinds: ${kinds}; seeds are numbers`);
    process.exit(2);
}

let brokenCount = 0;
for (let seed = firstSeed; seed < firstSeed + count; seed++) {
    const logFolder = values.logs === undefined ? undefined : join(values.logs, String(seed));
    const schedule = drawSchedule(seed, scale, only);
    const report = await runSoak({ seed, scale, schedule, ...logFolder === undefined ? {} : { logFolder } });
    console.log(JSON.stringify(report));
    brokenCount += report.broken.length;
}
process.exit(brokenCount === 0 ? 0 : 1);
