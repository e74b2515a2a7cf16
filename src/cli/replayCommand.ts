/** `jasmineline replay FILE`: feeds a recorded trace to the filters and compares their output with the recorded one. */
import { TraceLineKind } from "../pipeline/trace.ts";
import { PathParser } from "../settings/settingParsers.ts";
import { describeSettings, readSettings, SettingsError, type SettingsTable } from "../settings/settingsTable.ts";
import { readTraceFile } from "../storage/traceFile.ts";
import { replayRecordedRun } from "../wiring/replayRun.ts";
import { ExitCode } from "./exitCode.ts";
import { readSecretFile } from "./secretFile.ts";

const replaySettingsTable = {
    "cluster-secret-file": {
        parser: new PathParser(),
        description: "Secret of the recorded cluster; needed when its callers used session tokens.",
    },
} as const satisfies SettingsTable;

export function replayHelp(): string {
    return [
        "Usage: jasmineline replay FILE [FLAGS]",
        "",
        "Feeds the events of a trace written by `entry --record-trace FILE` to the same filters and compares the",
        `decisions with the recorded ones. Exits with ${ExitCode.ReplayMismatch} at the first difference.`,
        "",
        describeSettings(replaySettingsTable),
    ].join("\n");
}

export async function runReplay(commandLine: readonly string[]): Promise<ExitCode> {
    const [path, ...flags] = commandLine;
    if (path === undefined || path.startsWith("--")) {
        throw new SettingsError("replay needs a file before its flags; see --help");
    }
    const secretPath = readSettings(replaySettingsTable, flags, process.env)["cluster-secret-file"];
    const clusterSecret = secretPath === undefined ? "" : readSecretFile("cluster-secret-file", secretPath);
    const lines = readTraceFile(path);
    const header = lines[0]!;
    const options = header.line === TraceLineKind.Header ? header.options : undefined;
    const { events, outputs, difference } = replayRecordedRun(options, lines, clusterSecret);
    if (difference === undefined) {
        console.log(JSON.stringify({ events, outputs, same: true }));
        return ExitCode.Success;
    }
    console.log(JSON.stringify({ events, outputs, same: false, difference }));
    return ExitCode.ReplayMismatch;
}
