/** Loads of the proxy model: the statements that the proxy's rate filters admitted, and one load without rates. */
import { SeededRandom } from "../src/pipeline/seededRandom.ts";
import { loadShapes, runDurationMs, ShapeName } from "./loadShapes.ts";
import { ProductRates } from "./ratePolicies.ts";
import type { ProxyLoad } from "./runProxy.ts";
import { type RateRun, runRates } from "./runRates.ts";
import type { User } from "./users.ts";

/** Name of the shape in which the noisy workspace is not limited, so that its excess competes for slots. */
export const noisyWithoutRatesName = "one workspace at 5 times its rate, without rates";

/** Without the shape that loses an instance: that instance is a permit home, and its loss does not affect slots. */
const shapeNames: readonly string[] = Object.values(ShapeName).filter(name => name !== ShapeName.InstanceLost);

/** @param runs runs of the rate model, with one run of the product policy per shape */
export function proxyLoads(user: User, runs: readonly RateRun[], seed: number): readonly ProxyLoad[] {
    const product = runs.filter(run => run.user === user.name && run.policy === new ProductRates().name);
    const admitted = product.filter(run => shapeNames.includes(run.shape)).map(run => createProxyLoad(run, seed));
    return [...admitted, loadWithoutRates(user, seed)];
}

export function createProxyLoad(run: RateRun, seed: number): ProxyLoad {
    const { shape, arrivals, admittedAtMs, figures: { overRateAdmissions } } = run;
    return { shape, seed, arrivals, admittedAtMs, overRateAdmissions };
}

/** Load of one shape as admitted by the proxy's rate filters. */
export function admittedLoad(user: User, shapeName: string, seed: number): ProxyLoad {
    const shape = loadShapes.find(({ name }) => name === shapeName)!;
    return createProxyLoad(runRates(user, shape, new ProductRates(), seed), seed);
}

/** @param untilMs end of the load; specs use a shorter load */
export function loadWithoutRates(user: User, seed: number, untilMs = runDurationMs): ProxyLoad {
    const shape = loadShapes.find(({ name }) => name === ShapeName.Noisy)!;
    const arrivals = shape.arrivals(user, new SeededRandom(seed)).filter(({ atMs }) => atMs < untilMs)
        .sort((left, right) => left.atMs - right.atMs);
    const admittedAtMs = new Map(arrivals.map(({ atMs }, id) => [id, atMs]));
    return { shape: noisyWithoutRatesName, seed, arrivals, admittedAtMs, overRateAdmissions: undefined };
}
