import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ShapeName } from "../loadShapes.ts";
import { admittedLoad } from "../proxyLoads.ts";
import { ProductSlots } from "../proxyPolicies.ts";
import { runProxy } from "../runProxy.ts";
import { assertSafe } from "../safety.ts";
import { users } from "../users.ts";

const seed = 1;
const [primaryLostFigures, cutOffFigures] = [ShapeName.PrimaryLost, ShapeName.CutOff].map(shape =>
    runProxy(users[0]!, admittedLoad(users[0]!, shape, seed), new ProductSlots()).figures
);

// Bounds are the targets in section 1.5 of docs/design.md.
describe("slots and reads through failures", () => {
    it("keeps its guarantees when a primary is lost", () => assertSafe(primaryLostFigures!));

    it("keeps its guarantees while a data centre is cut off and after it returns", () => assertSafe(cutOffFigures!));

    it("acknowledges writes again within 3 s when a primary is lost", () => {
        assert.ok(primaryLostFigures!.failoverGapMs! < 3_000, `gap of ${primaryLostFigures!.failoverGapMs} ms`);
    });

    it("acknowledges writes again within 13 s when the holder is lost with the primary", () => {
        assert.ok(cutOffFigures!.failoverGapMs! < 13_000, `gap of ${cutOffFigures!.failoverGapMs} ms`);
    });
});
