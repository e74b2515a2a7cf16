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
const steadyLoad = admittedLoad(users[0]!, ShapeName.Steady, seed);
const steadyFigures = run(steadyLoad, new ProductSlots());
const rushFigures = run(admittedLoad(users[0]!, ShapeName.Rush, seed), new ProductSlots());

// Bounds are the targets in section 1.5 of docs/design.md.
describe("slots under normal load", () => {
    it("keeps its guarantees under steady load", () => assertSafe(steadyFigures));

    it("keeps its guarantees in a burst after low load", () => assertSafe(rushFigures));

    it("refuses nothing within the rate under steady load", () => {
        assert.equal(steadyFigures.wrongfulRefusals, 0);
    });

    it("serves a larger share within the rate than the baseline with all reads on the primary", () => {
        const baselineFigures = run(steadyLoad, new ReadsOnPrimary());
        assert.equal(baselineFigures.replicaReadShare, 0);
        assert.ok(steadyFigures.worstWorkspaceServedShare > baselineFigures.worstWorkspaceServedShare);
    });
});

function run(load: ProxyLoad, policy: ProxyPolicy): ProxyFigures {
    return runProxy(users[0]!, load, policy).figures;
}
