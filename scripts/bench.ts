/**
 * Benchmark: policies side by side under the same seeded load, in virtual time.
 * `--json` prints one JSON object on the last line. `--slopes` measures costs per workspace and admission as well; bytes
 * need `NODE_OPTIONS=--expose-gc`.
 */
import { parseArgs } from "node:util";
import { describeJson, describeTable } from "../bench/describe.ts";
import { loadShapes } from "../bench/loadShapes.ts";
import { ratePolicies } from "../bench/ratePolicies.ts";
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
        slopes: { type: "boolean", default: false },
    },
});
const seed = Number(values.seed);
const runs = users.flatMap(user =>
    loadShapes.flatMap(shape => ratePolicies.map(policy => runRates(user, shape, policy, seed)))
);
const slots = slotBaselines.map(policy => ({
    policy: policy.name,
    ...new SlotModel(laggingLoad, policy, new SeededRandom(seed)).run(),
}));
const slopes = values.slopes ? measureSlopes() : undefined;
console.log(values.json ? describeJson(runs, slots, seed, slopes) : describeTable(runs, slots, seed, slopes));
