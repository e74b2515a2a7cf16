/** `jasmineline entry`: one instance of the proxy. */
import { entrySettingsTable, readEntrySettings } from "../settings/entrySettings.ts";
import { describeSettings } from "../settings/settingsTable.ts";
import { startEntry } from "../wiring/entryProcess.ts";
import { ExitCode } from "./exitCode.ts";
import { readSecretFile } from "./secretFile.ts";

export function entryHelp(): string {
    return `Usage: jasmineline entry [FLAGS]\n\n${describeSettings(entrySettingsTable)}`;
}

/** Runs until a signal. The first SIGTERM or SIGINT drains, a second one ends at once. */
export async function runEntry(commandLine: readonly string[]): Promise<ExitCode> {
    const settings = readEntrySettings(commandLine, process.env);
    await using entry = await startEntry(settings, {
        clusterSecret: readSecretFile("cluster-secret-file", settings["cluster-secret-file"]),
        databasePassword: readSecretFile("database-password-file", settings["database-password-file"]),
    });
    const onSignal = (): void => entry.drain();
    process.once("SIGTERM", onSignal);
    process.once("SIGINT", onSignal);
    await entry.drained;
    return ExitCode.Success;
}
