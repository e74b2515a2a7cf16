/**
 * Benchmark that compares policies under the same seeded load in virtual time. A full run takes several minutes.
 * - `--json` prints one JSON object on the last line instead of tables.
 * - `--slopes` also measures costs per workspace, instance and statement; byte counts need
 *   `NODE_OPTIONS=--expose-gc`.
 * - `--processes` also measures real processes, `--abuse` callers beside 200 abusive ones.
 * - `--user NAME` runs only the load of one user, `--product-only` skips the baselines of the proxy model, and
 *   `--no-policies` runs only slopes and processes.
 */
import { parseArgs } from "node:util";
import { measureAbuse } from "../bench/abusiveCallers.ts";
import { formatJson, formatTable } from "../bench/describe.ts";
import { loadShapes } from "../bench/loadShapes.ts";
import { measureProcesses } from "../bench/processes.ts";
import { proxyLoads } from "../bench/proxyLoads.ts";
import { proxyPolicies } from "../bench/proxyPolicies.ts";
import { ratePolicies } from "../bench/ratePolicies.ts";
import { runProxy } from "../bench/runProxy.ts";
import { runRates } from "../bench/runRates.ts";
import { measureSlopes } from "../bench/slopes.ts";
import { laggingLoad, SlotModel } from "../bench/slotModel.ts";
import { slotBaselines } from "../bench/slotPolicy.ts";
import { users } from "../bench/users.ts";
import { SeededRandom } from "../src/pipeline/seededRandom.ts";

const { values } = parseArgs({
    options: {
        json: { type: "boolean", default: false },
        seed: { type: "string", default: "1" },
        processes: { type: "boolean", default: false },
        abuse: { type: "boolean", default: false },
        slopes: { type: "boolean", default: false },
        user: { type: "string" },
        "product-only": { type: "boolean", default: false },
        "no-policies": { type: "boolean", default: false },
    },
});
const seed = Number(values.seed);
const chosenUsers = values["no-policies"]
    ? []
    : users.filter(user => values.user === undefined || user.name === values.user);
if (chosenUsers.length === 0 && !values["no-policies"]) {
    console.error(`--user is "${values.user}"; allowed are ${users.map(user => user.name).join(" and ")}`);
    process.exit(2);
}
const rateRuns = chosenUsers.flatMap(user =>
    loadShapes.flatMap(shape => ratePolicies.map(policy => runRates(user, shape, policy, seed)))
);
const chosenPolicies = values["product-only"] ? proxyPolicies.slice(0, 1) : proxyPolicies;
const proxyRuns = chosenUsers.flatMap(user =>
    proxyLoads(user, rateRuns, seed).flatMap(load => chosenPolicies.map(policy => runProxy(user, load, policy)))
);
const slots = values["no-policies"] ? [] : slotBaselines.map(policy => ({
    policy: policy.name,
    ...new SlotModel(laggingLoad, policy, new SeededRandom(seed)).run(),
}));
const slopes = values.slopes ? measureSlopes() : undefined;
const processes = values.processes ? await measureProcesses() : undefined;
const abuse = values.abuse ? await measureAbuse() : undefined;
const report = { proxyRuns, rateRuns, slots, seed, slopes, processes, abuse };
console.log(values.json ? formatJson(report) : formatTable(report));
