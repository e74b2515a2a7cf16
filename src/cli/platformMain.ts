/** Entry point of the bundled program that runs on the users' platform. */
import { randomBytes } from "node:crypto";
import { join } from "node:path";
import { readCompleteSettings, readPlatformSettings, settingsVariable } from "../platform/platformSettings.ts";
import { platformSettingsTable } from "../settings/platformSettingsTable.ts";
import { readSettings, SettingsError } from "../settings/settingsTable.ts";
import { startPlatformProcess } from "../wiring/platformProcess.ts";
import { SettingsWatcher } from "../wiring/settingsWatcher.ts";
import { ExitCode } from "./exitCode.ts";
import { readSecretFile } from "./secretFile.ts";
import { StartupSignals } from "./startupSignals.ts";

/** The build script writes this file next to the program. */
const secretFileName = "cluster-secret";

void runPlatformProcess().then(code => process.exit(code), error => {
    console.error((error as Error).message);
    process.exit(error instanceof SettingsError ? ExitCode.Usage : ExitCode.InternalError);
});

async function runPlatformProcess(): Promise<ExitCode> {
    const path = process.env[settingsVariable];
    if (path === undefined) {
        console.error(`set ${settingsVariable} to the path of the settings file`);
        return ExitCode.Usage;
    }
    const { pace, statsd } = readSettings(platformSettingsTable, process.argv.slice(2), process.env);
    using signals = new StartupSignals();
    using watcher = new SettingsWatcher(path);
    const settings = await readCompleteSettings(path);
    const platformProcess = await startPlatformProcess({
        settings,
        clusterSecret: readSecretFile("cluster-secret-file", join(import.meta.dirname, secretFileName)),
        pace,
        statsd,
        seed: randomBytes(4).readUInt32BE() >>> 1,
    });
    const reload = (): void => platformProcess.reload(() => readPlatformSettings(path));
    process.on("SIGTERM", () => platformProcess.drain());
    process.on("SIGHUP", reload);
    signals.repeat();
    watcher.start(reload);
    await platformProcess.ended;
    await platformProcess[Symbol.asyncDispose]();
    return ExitCode.Success;
}
