/** One load run from the first statement to the final figures. */
import { setTimeout as delay } from "node:timers/promises";
import { Account } from "./account.ts";
import { Caller, type LoadState } from "./caller.ts";
import type { CallerIdentity, Connector } from "./connector.ts";
import { GapMeter } from "./gapMeter.ts";
import { operationFor } from "./operations.ts";
import type { Plan } from "./plan.ts";
import { RateModel, type WorkspaceRate } from "./rateModel.ts";
import { RegisterHistory } from "./registerHistory.ts";
import { WriteLedger } from "./writeLedger.ts";

export interface LoadOptions {
    readonly connector: Connector;
    readonly entryCount: number;
    readonly services: readonly string[];
    readonly identities: readonly CallerIdentity[];
    readonly rates: readonly WorkspaceRate[];
    readonly callerCount: number;
    readonly plan: Plan;
    readonly durationMs: number;
    /** The run ends after about this many statements. */
    readonly statementLimit: number;
    readonly nowMs: () => number;
}

export function newLoadState(options: LoadOptions): LoadState {
    return {
        connector: options.connector,
        account: new Account(),
        rates: new RateModel(options.rates, options.nowMs()),
        gaps: new GapMeter(),
        registers: new RegisterHistory(),
        ledgers: new Map(options.services.map(service => [service, new WriteLedger()])),
        nowMs: options.nowMs,
        entryCount: options.entryCount,
    };
}

/** Runs all callers to the end of the run. */
export async function runLoad(options: LoadOptions): Promise<LoadState> {
    const state = newLoadState(options);
    const endMs = options.nowMs() + options.durationMs;
    const callers = Array.from({ length: options.callerCount }, (_unused, index) => newCaller(index, options, state));
    await Promise.all(callers.map(caller => runCaller(caller, options, endMs)));
    state.gaps.end(options.nowMs());
    return state;
}

function newCaller(index: number, options: LoadOptions, state: LoadState): Caller {
    const identity = options.identities[index % options.identities.length]!;
    // Every key calls every service: services change faster than keys do.
    const service = options.services[Math.floor(index / options.identities.length) % options.services.length]!;
    return new Caller(index, identity, service, state);
}

async function runCaller(caller: Caller, options: LoadOptions, endMs: number): Promise<void> {
    const { account } = caller.state;
    try {
        while (options.nowMs() < endMs && account.statements < options.statementLimit) {
            const step = options.plan.next(caller.index);
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
