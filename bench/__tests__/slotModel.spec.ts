import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SeededRandom } from "../../src/pipeline/seededRandom.ts";
import { laggingLoad, SlotModel } from "../slotModel.ts";
import { LeastLoaded, PrimaryOnly, type SlotPolicy } from "../slotPolicy.ts";

describe("slot model", () => {
    it("counts stale reads, so that a policy that ignores floors does not score well", () => {
        const primaryOnlyFigures = run(new PrimaryOnly());
        assert.equal(primaryOnlyFigures.replicaReadShare, 0);
        assert.equal(primaryOnlyFigures.staleReads, 0);
        const leastLoadedFigures = run(new LeastLoaded());
        assert.ok(leastLoadedFigures.replicaReadShare > 0.3);
        assert.ok(leastLoadedFigures.staleReads > 0);
    });
});

function run(policy: SlotPolicy): ReturnType<SlotModel["run"]> {
    return new SlotModel(laggingLoad, policy, new SeededRandom(1)).run();
}
