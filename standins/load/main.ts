/** Runs the load and prints the summary as a JSON object on the last line. */
import { setTimeout as delay } from "node:timers/promises";
import "disposablestack/auto";
import type { LoadState } from "./caller.ts";
import { MysqlConnector } from "./connector.ts";
import { DatabaseAdmin, findPrimary } from "./databaseAdmin.ts";
import { checkFinalContent } from "./finalContentCheck.ts";
import { runLoad } from "./loadRun.ts";
import { type Plan, RecordedPlan, RecordingPlan, SeededPlan } from "./plan.ts";
import { awaitReady } from "./readiness.ts";
import { ReadShareSampler } from "./readShareSampler.ts";
import { type LoadSettings, readLoadSettings } from "./settings.ts";
import { summarize, violationsOf } from "./summary.ts";

/** Time for statements whose callers timed out to complete in the databases before the final content is read. */
const settleDurationMs = 500;

const settings = readLoadSettings(process.argv.slice(2));
process.exitCode = await run(settings);

async function run(settings: LoadSettings): Promise<number> {
    const databases = settings.adminPorts.map(port => new DatabaseAdmin(port));
    const connector = new MysqlConnector(settings.entries, settings.answerTimeoutMs);
    const entryCount = settings.entries.length;
    const { services, callers: { keys, workspaces } } = settings;
    await awaitReady({ connector, entryCount, services, identity: keys[0]!, timeoutMs: settings.readyTimeoutMs });
    console.log(JSON.stringify({ event: "load_started" }));
    await using sampler = new ReadShareSampler(databases);
    const state = await runLoad({
        ...settings,
        connector,
        entryCount,
        identities: keys,
        workspaceRates: workspaces,
        plan: choosePlan(settings),
        nowMs: () => performance.now(),
    });
    await delay(settleDurationMs);
    await sampler.sample();
    const unverifiedServices = await checkServices(services, databases, state);
    const summary = summarize(state, sampler.replicaReadShare, unverifiedServices);
    console.log(JSON.stringify(summary));
    return violationsOf(summary).length === 0 ? 0 : 1;
}

/** Returns the services whose final content could not be read. */
async function checkServices(
    services: readonly string[],
    databases: readonly DatabaseAdmin[],
    state: LoadState,
): Promise<readonly string[]> {
    const unverifiedServices: string[] = [];
    for (const service of services) {
        try {
            const primary = await findPrimary(databases, service);
            await checkFinalContent(service, { query: async sql => (await primary.sql(sql)).rows }, state);
        }
        catch (error) {
            console.error(`final content of "${service}" not checked: ${(error as Error).message}`);
            unverifiedServices.push(service);
        }
    }
    return unverifiedServices;
}

function choosePlan(settings: LoadSettings): Plan {
    const plan = settings.replayPath === undefined
        ? new SeededPlan(settings.seed, settings.pauseMs)
        : new RecordedPlan(settings.replayPath);
    return settings.recordPath === undefined ? plan : new RecordingPlan(plan, settings.recordPath);
}
