import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ShapeName } from "../loadShapes.ts";
import type { ProxyFigures } from "../proxyFigures.ts";
import { admittedLoad, loadWithoutRates } from "../proxyLoads.ts";
import { FirstComeFirstServed, ProductSlots, type ProxyPolicy } from "../proxyPolicies.ts";
import { type ProxyLoad, runProxy } from "../runProxy.ts";
import { assertSafe } from "../safety.ts";
import { users } from "../users.ts";

const seed = 1;
const overload = loadWithoutRates(users[0]!, seed, 8_000);
const noisy = run(admittedLoad(users[0]!, ShapeName.Noisy, seed), new ProductSlots());
const product = run(overload, new ProductSlots());

// Bounds are the targets in section 1.5 of docs/design.md.
describe("slots beside a neighbour at 5 times its rate", () => {
    it("keeps its guarantees with rates", () => assertSafe(noisy));

    it("keeps its guarantees when the excess reaches the slots", () => assertSafe(product));

    it("serves every workspace at least 99%", () => {
        assert.ok(noisy.worstWorkspaceServedShare >= 0.99, `share ${noisy.worstWorkspaceServedShare}`);
    });

    it("serves every workspace at least 99% when the excess reaches the slots", () => {
        assert.ok(product.worstWorkspaceServedShare >= 0.99, `share ${product.worstWorkspaceServedShare}`);
    });

    it("lets others wait less than first come first served does when the excess reaches the slots", () => {
        const baseline = run(overload, new FirstComeFirstServed());
        assert.ok(product.othersWaitingP99Ms < baseline.othersWaitingP99Ms);
    });
});

function run(load: ProxyLoad, policy: ProxyPolicy): ProxyFigures {
    return runProxy(users[0]!, load, policy).figures;
}
