import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { loadShapes, ShapeName } from "../loadShapes.ts";
import type { RateFigures } from "../rateFigures.ts";
import { NoWaiting, ProductRates, type RatePolicy } from "../ratePolicies.ts";
import { runRates } from "../runRates.ts";
import { users } from "../users.ts";

const seed = 1;
const figuresByShape = new Map(loadShapes.map(shape => [shape.name as string, run(shape.name, new ProductRates())]));

// Bounds are the targets in section 1.5 of docs/design.md.
describe("rate policy against its targets", () => {
    it("admits nothing above the rate under any load shape", () => {
        for (const [shape, figures] of figuresByShape) {
            assert.equal(figures.overRateAdmissions, 0, shape);
        }
    });

    it("refuses nothing within the rate under steady load and with another workspace at 5 times its rate", () => {
        assert.equal(figuresByShape.get(ShapeName.Steady)!.wrongfulRefusals, 0);
        assert.equal(figuresByShape.get(ShapeName.Noisy)!.wrongfulRefusals, 0);
    });

    it("serves every workspace at least 99% of its rate with another workspace at 5 times its rate", () => {
        assert.ok(figuresByShape.get(ShapeName.Noisy)!.worstWorkspaceServedShare >= 0.99);
    });

    it("refuses under 0.1% within the rate while a data centre is cut off", () => {
        const { wrongfulShare } = figuresByShape.get(ShapeName.CutOff)!;
        assert.ok(wrongfulShare < 0.001, `wrongful share ${wrongfulShare}`);
    });

    it("refuses fewer statements with the queue per workspace than without waiting, which justifies the queue", () => {
        for (const shape of [ShapeName.Steady, ShapeName.Rush, ShapeName.Noisy]) {
            const figuresWithoutWaiting = run(shape, new NoWaiting());
            assert.ok(figuresByShape.get(shape)!.wrongfulRefusals < figuresWithoutWaiting.wrongfulRefusals, shape);
        }
    });
});

function run(shapeName: string, policy: RatePolicy): RateFigures {
    return runRates(users[0]!, loadShapes.find(shape => shape.name === shapeName)!, policy, seed).figures;
}
