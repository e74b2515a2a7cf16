/** `jasmineline replay FILE`: runs a recorded trace again. */
import { TraceLineKind } from "../pipeline/trace.ts";
import { SettingsError } from "../settings/settingsTable.ts";
import { readTraceFile } from "../storage/traceFile.ts";
import { replayRecordedRun } from "../wiring/replayRun.ts";
import { ExitCode } from "./exitCode.ts";

export function replayHelp(): string {
    return [
        "Usage: jasmineline replay FILE",
        "",
        "Feeds the events of a trace written by `entry --record-trace FILE` to the same filters and compares the",
        `decisions with the recorded ones. Exits with ${ExitCode.Different} at the first difference.`,
    ].join("\n");
}

export async function runReplay(commandLine: readonly string[]): Promise<ExitCode> {
    const [path, ...rest] = commandLine;
    if (path === undefined || rest.length > 0) {
        throw new SettingsError("replay needs exactly one file; see --help");
    }
    const lines = readTraceFile(path);
    const header = lines[0]!;
    const options = header.line === TraceLineKind.Header ? header.options : undefined;
    const { events, outputs, difference } = replayRecordedRun(options, lines);
    if (difference === undefined) {
        console.log(JSON.stringify({ events, outputs, same: true }));
        return ExitCode.Success;
    }
    console.log(JSON.stringify({ events, outputs, same: false, difference }));
    return ExitCode.Different;
}
