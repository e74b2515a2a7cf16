import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ShapeName } from "../loadShapes.ts";
import { admittedLoad } from "../proxyLoads.ts";
import { ProductSlots } from "../proxyPolicies.ts";
import { runProxy } from "../runProxy.ts";
import { assertSafe } from "../safety.ts";
import { users } from "../users.ts";

const seed = 1;
const [randomStallFigures, fixedLagFigures] = [ShapeName.Lagging, ShapeName.FixedLag].map(shape =>
    runProxy(users[0]!, admittedLoad(users[0]!, shape, seed), new ProductSlots()).figures
);

// Bounds are the targets in section 1.5 of docs/design.md.
describe("reads from lagging replicas", () => {
    it("returns no stale read while replicas stall for random times", () => assertSafe(randomStallFigures!));

    it("returns no stale read while replicas lag by 1 s", () => assertSafe(fixedLagFigures!));

    it("serves at least 90% of eligible reads from replicas that lag by 1 s", () => {
        assert.ok(fixedLagFigures!.replicaReadShare >= 0.9, `share ${fixedLagFigures!.replicaReadShare}`);
    });
});
