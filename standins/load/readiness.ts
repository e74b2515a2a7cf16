/** Waits until the system under load accepts writes. */
import { setTimeout as delay } from "node:timers/promises";
import { OutcomeKind } from "./callOutcome.ts";
import { type CallerIdentity, type Connector, isConnection } from "./connector.ts";

const retryMs = 100;

export interface ReadinessOptions {
    readonly connector: Connector;
    readonly entryCount: number;
    readonly services: readonly string[];
    readonly identity: CallerIdentity;
    readonly timeoutMs: number;
}

/**
 * Resolves when each service has accepted a write through each entry instance.
 * @throws Error naming the service and the entry instance that accepted no write in time
 */
export async function awaitReady(options: ReadinessOptions): Promise<void> {
    const deadlineMs = performance.now() + options.timeoutMs;
    for (let entry = 0; entry < options.entryCount; entry++) {
        for (const service of options.services) {
            await awaitFirstWrite(options, entry, service, deadlineMs);
        }
    }
}

async function awaitFirstWrite(
    options: ReadinessOptions,
    entry: number,
    service: string,
    deadlineMs: number,
): Promise<void> {
    let lastCode = "";
    while (performance.now() < deadlineMs) {
        lastCode = await attemptWrite(options, entry, service);
        if (lastCode === "") {
            return;
        }
        await delay(retryMs);
    }
    throw new Error(`service "${service}" through entry ${entry} accepted no write in time; last error: ${lastCode}`);
}

/** Runs a write that leaves all values unchanged; returns the error code, or an empty string on success. */
async function attemptWrite(options: ReadinessOptions, entry: number, service: string): Promise<string> {
    const connection = await options.connector.connect(entry, options.identity, service);
    if (!isConnection(connection)) {
        return connection.code;
    }
    const outcome = await connection.query("UPDATE registers SET value = value WHERE id = 0");
    connection.close();
    return outcome.kind === OutcomeKind.Done ? "" : outcome.code;
}
