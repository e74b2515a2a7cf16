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
const loadAboveRate = loadWithoutRates(users[0]!, seed, 8_000);
const figuresWithRates = run(admittedLoad(users[0]!, ShapeName.Noisy, seed), new ProductSlots());
const figuresWithoutRates = run(loadAboveRate, new ProductSlots());

// Bounds are the targets in section 1.5 of docs/design.md.
describe("slots with another workspace at 5 times its rate", () => {
    it("keeps its guarantees when rates are enforced", () => assertSafe(figuresWithRates));

    it("keeps its guarantees when the excess reaches the slots", () => assertSafe(figuresWithoutRates));

    it("serves every workspace at least 99% when rates are enforced", () => {
        assert.ok(
            figuresWithRates.worstWorkspaceServedShare >= 0.99,
            `share ${figuresWithRates.worstWorkspaceServedShare}`,
        );
    });

    it("serves every workspace at least 99% when the excess reaches the slots", () => {
        assert.ok(
            figuresWithoutRates.worstWorkspaceServedShare >= 0.99,
            `share ${figuresWithoutRates.worstWorkspaceServedShare}`,
        );
    });

    it("has shorter waits for other workspaces than first come first served when the excess reaches the slots", () => {
        const baselineFigures = run(loadAboveRate, new FirstComeFirstServed());
        assert.ok(figuresWithoutRates.othersWaitingP99Ms < baselineFigures.othersWaitingP99Ms);
    });
});

function run(load: ProxyLoad, policy: ProxyPolicy): ProxyFigures {
    return runProxy(users[0]!, load, policy).figures;
}
