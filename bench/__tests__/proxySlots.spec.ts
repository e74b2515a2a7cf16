import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ShapeName } from "../loadShapes.ts";
import type { ProxyFigures } from "../proxyFigures.ts";
import { admittedLoad } from "../proxyLoads.ts";
import { ProductSlots, type ProxyPolicy, ReadsOnPrimary } from "../proxyPolicies.ts";
import { type ProxyLoad, runProxy } from "../runProxy.ts";
import { assertSafe } from "../safety.ts";
import { users } from "../users.ts";

const seed = 1;
const steady = admittedLoad(users[0]!, ShapeName.Steady, seed);
const product = run(steady, new ProductSlots());
const rush = run(admittedLoad(users[0]!, ShapeName.Rush, seed), new ProductSlots());

// Bounds are the targets in section 1.5 of docs/design.md.
describe("slots under ordinary load", () => {
    it("keeps its guarantees under steady load", () => assertSafe(product));

    it("keeps its guarantees in a rush after a trickle", () => assertSafe(rush));

    it("refuses nothing within the rate under steady load", () => {
        assert.equal(product.wrongfulRefusals, 0);
    });

    it("serves more within the rate than reads on the primary do", () => {
        const baseline = run(steady, new ReadsOnPrimary());
        assert.equal(baseline.replicaReadShare, 0);
        assert.ok(product.worstWorkspaceServedShare > baseline.worstWorkspaceServedShare);
    });
});

function run(load: ProxyLoad, policy: ProxyPolicy): ProxyFigures {
    return runProxy(users[0]!, load, policy).figures;
}
