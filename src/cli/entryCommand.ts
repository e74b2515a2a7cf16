/** `jasmineline entry`: runs an instance of the proxy. */
import { readFileSync } from "node:fs";
import type { Command } from "../model/controlMessages.ts";
import { entrySettingsTable, readEntrySettings } from "../settings/entrySettings.ts";
import { parseInitialConfiguration } from "../settings/initialConfiguration.ts";
import { describeSettings, SettingsError } from "../settings/settingsTable.ts";
import { startEntry } from "../wiring/entryProcess.ts";
import { ExitCode } from "./exitCode.ts";
import { readSecretFile } from "./secretFile.ts";

export function entryHelp(): string {
    return `Usage: jasmineline entry [FLAGS]\n\n${describeSettings(entrySettingsTable)}`;
}

/**
 * Runs the instance until it has shut down. The first SIGTERM or SIGINT starts a drain, a second one ends the instance
 * at once.
 */
export async function runEntry(commandLine: readonly string[]): Promise<ExitCode> {
    const settings = readEntrySettings(commandLine, process.env);
    await using entry = await startEntry(settings, {
        clusterSecret: readSecretFile("cluster-secret-file", settings["cluster-secret-file"]),
        databasePassword: readSecretFile("database-password-file", settings["database-password-file"]),
        initialCommands: readInitialCommands(settings["initial-configuration"]),
    });
    const onSignal = (): void => entry.drain();
    process.on("SIGTERM", onSignal);
    process.on("SIGINT", onSignal);
    await entry.ended;
    return ExitCode.Success;
}

function readInitialCommands(path: string | undefined): readonly Command[] {
    if (path === undefined) {
        return [];
    }
    try {
        return parseInitialConfiguration(readFileSync(path, "utf8"));
    }
    catch (error) {
        throw new SettingsError(`--initial-configuration is "${path}": ${(error as Error).message}`);
    }
}
