/** Loads of the proxy model: what the product's rate filters admitted, or everything where rates are not the subject. */
import { SeededRandom } from "../src/pipeline/seededRandom.ts";
import { loadShapes, runDurationMs, ShapeName } from "./loadShapes.ts";
import { ProductRates } from "./ratePolicies.ts";
import type { ProxyLoad } from "./runProxy.ts";
import { type RateRun, runRates } from "./runRates.ts";
import type { User } from "./users.ts";

/** The noisy neighbour without rates: its excess competes for slots. */
export const noisyWithoutRatesName = "one workspace at 5 times its rate, without rates";

/** The instance that is lost in the remaining shape is a permit home; its loss does not concern slots. */
const shapeNames: readonly string[] = Object.values(ShapeName).filter(name => name !== ShapeName.InstanceLost);

/** @param runs runs of the rate filters; one of the product for each shape */
export function proxyLoads(user: User, runs: readonly RateRun[], seed: number): readonly ProxyLoad[] {
    const product = runs.filter(run => run.user === user.name && run.policy === new ProductRates().name);
    const admitted = product.filter(run => shapeNames.includes(run.shape)).map(run => createProxyLoad(run, seed));
    return [...admitted, loadWithoutRates(user, seed)];
}

export function createProxyLoad(run: RateRun, seed: number): ProxyLoad {
    const { shape, arrivals, admittedAtMs, figures: { overRateAdmissions } } = run;
    return { shape, seed, arrivals, admittedAtMs, overRateAdmissions };
}

/** One shape after the product's rate filters. */
export function admittedLoad(user: User, shapeName: string, seed: number): ProxyLoad {
    const shape = loadShapes.find(({ name }) => name === shapeName)!;
    return createProxyLoad(runRates(user, shape, new ProductRates(), seed), seed);
}

/** @param untilMs end of the load; specs take less than the whole */
export function loadWithoutRates(user: User, seed: number, untilMs = runDurationMs): ProxyLoad {
    const shape = loadShapes.find(({ name }) => name === ShapeName.Noisy)!;
    const arrivals = shape.arrivals(user, new SeededRandom(seed)).filter(({ atMs }) => atMs < untilMs)
        .sort((left, right) => left.atMs - right.atMs);
    const admittedAtMs = new Map(arrivals.map(({ atMs }, id) => [id, atMs]));
    return { shape: noisyWithoutRatesName, seed, arrivals, admittedAtMs, overRateAdmissions: undefined };
}
