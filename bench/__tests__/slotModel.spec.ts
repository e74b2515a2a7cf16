import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SeededRandom } from "../../src/pipeline/seededRandom.ts";
import { laggingLoad, SlotModel } from "../slotModel.ts";
import { LeastLoaded, PrimaryOnly, type SlotPolicy } from "../slotPolicy.ts";

describe("slot model", () => {
    it("counts stale reads, so that a policy without floors cannot look good", () => {
        const primary = run(new PrimaryOnly());
        assert.equal(primary.replicaReadShare, 0);
        assert.equal(primary.staleReads, 0);
        const careless = run(new LeastLoaded());
        assert.ok(careless.replicaReadShare > 0.3);
        assert.ok(careless.staleReads > 0);
    });
});

function run(policy: SlotPolicy): ReturnType<SlotModel["run"]> {
    return new SlotModel(laggingLoad, policy, new SeededRandom(1)).run();
}
