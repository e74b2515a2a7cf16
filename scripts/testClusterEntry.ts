/** Entry instances of a test cluster. */
import { existsSync } from "node:fs";
import { connect } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import type { Command, ManagedProcess } from "./processGroup.ts";

const listenTimeoutMs = 12_000;
const retryIntervalMs = 50;

export interface EntryHandle {
    readonly id: string;
    readonly dataCentre: string;
    readonly mysqlPort: number;
    readonly rpcPort: number;
    process: ManagedProcess | undefined;
}

/** Finds the built entry program, or else its source; returns undefined if neither exists. */
export function findEntryProgram(): Pick<Command, "program" | "commandArguments"> | undefined {
    if (existsSync("dist/jasmineline")) {
        return { program: "dist/jasmineline", commandArguments: [] };
    }
    const source = "src/cli/main.ts";
    return existsSync(source)
        ? { program: process.execPath, commandArguments: ["--import", "tsx", source] }
        : undefined;
}

/** @throws Error if there is no entry program */
export function requireEntryProgram(): Pick<Command, "program" | "commandArguments"> {
    const program = findEntryProgram();
    if (program === undefined) {
        throw new Error("no entry program: neither dist/jasmineline nor src/cli/main.ts exists; run npm run build");
    }
    return program;
}

/** @throws Error with the last output if the instance ends or does not listen in time */
export async function awaitListening(entry: EntryHandle): Promise<void> {
    const endMs = performance.now() + listenTimeoutMs;
    while (performance.now() < endMs && entry.process?.isRunning === true) {
        if (await canConnect(entry.mysqlPort)) {
            return;
        }
        await delay(retryIntervalMs);
    }
    throw new Error(`${entry.id} does not listen:\n${entry.process?.recentLines.join("\n") ?? "not started"}`);
}

async function canConnect(port: number): Promise<boolean> {
    return new Promise(resolve => {
        const socket = connect(port, "127.0.0.1");
        const settle = (connected: boolean) => {
            socket.destroy();
            resolve(connected);
        };
        socket.on("connect", () => settle(true));
        socket.on("error", () => settle(false));
    });
}
