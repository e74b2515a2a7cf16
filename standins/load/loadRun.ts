/** Runs the callers of one load run. */
import { setTimeout as delay } from "node:timers/promises";
import { Caller, type LoadState } from "./caller.ts";
import type { CallerIdentity, Connector } from "./connector.ts";
import { FailoverGapMeter } from "./failoverGapMeter.ts";
import { LoadStatistics } from "./loadStatistics.ts";
import { operationFor } from "./operations.ts";
import type { Plan } from "./plan.ts";
import { RateModel, type WorkspaceRate } from "./rateModel.ts";
import { RegisterHistory } from "./registerHistory.ts";
import { WriteOutcomes } from "./writeOutcomes.ts";

export interface LoadOptions {
    readonly connector: Connector;
    readonly entryCount: number;
    readonly services: readonly string[];
    readonly identities: readonly CallerIdentity[];
    readonly workspaceRates: readonly WorkspaceRate[];
    readonly callerCount: number;
    readonly plan: Plan;
    readonly durationMs: number;
    /** Approximate number of statements after which the run ends. */
    readonly statementLimit: number;
    readonly nowMs: () => number;
}

export function createLoadState(options: LoadOptions): LoadState {
    return {
        connector: options.connector,
        statistics: new LoadStatistics(),
        rateModel: new RateModel(options.workspaceRates, options.nowMs()),
        gapMeter: new FailoverGapMeter(),
        registerHistory: new RegisterHistory(),
        writeOutcomes: new Map(options.services.map(service => [service, new WriteOutcomes()])),
        nowMs: options.nowMs,
        entryCount: options.entryCount,
    };
}

/** Runs all callers until the run ends and returns its state. */
export async function runLoad(options: LoadOptions): Promise<LoadState> {
    const state = createLoadState(options);
    const endsAtMs = options.nowMs() + options.durationMs;
    const callers = Array.from({ length: options.callerCount }, (_unused, index) => newCaller(index, options, state));
    await Promise.all(callers.map(caller => runCaller(caller, options, endsAtMs)));
    state.gapMeter.finish(options.nowMs());
    return state;
}

function newCaller(index: number, options: LoadOptions, state: LoadState): Caller {
    const identity = options.identities[index % options.identities.length]!;
    // The service index advances after one round over the keys, so that every key is used on every service.
    const service = options.services[Math.floor(index / options.identities.length) % options.services.length]!;
    return new Caller(index, identity, service, state);
}

async function runCaller(caller: Caller, options: LoadOptions, endsAtMs: number): Promise<void> {
    const { statistics } = caller.state;
    try {
        while (options.nowMs() < endsAtMs && statistics.statements < options.statementLimit) {
            const step = options.plan.nextStep(caller.index);
            if (step === undefined) {
                return;
            }
            await delay(step.pauseMs);
            await operationFor(step.operation).run(caller, step);
        }
    }
    finally {
        caller.close();
    }
}
