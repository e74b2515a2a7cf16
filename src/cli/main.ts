/** Entry point of the `jasmineline` binary. */
import { SettingsError } from "../settings/settingsTable.ts";
import { runCtl } from "./ctlCommand.ts";
import { entryHelp, runEntry } from "./entryCommand.ts";
import { ExitCode } from "./exitCode.ts";
import { replayHelp, runReplay } from "./replayCommand.ts";
import { version } from "./version.ts";

/** A top-level command. */
interface Command {
    readonly summary: string;
    help(): string;
    run(commandLine: readonly string[]): Promise<ExitCode>;
}

const commands: Readonly<Record<string, Command>> = {
    entry: { summary: "serve callers; with a data folder also keep the control state", help: entryHelp, run: runEntry },
    ctl: { summary: "change targets, workspaces and keys; show the state", help: () => "", run: runCtl },
    replay: { summary: "run a recorded trace again and compare the decisions", help: replayHelp, run: runReplay },
    version: { summary: "print the version", help: () => "Usage: jasmineline version", run: printVersion },
};

void runCommand(process.argv.slice(2)).then(code => {
    process.exitCode = code;
});

async function runCommand([name, ...rest]: readonly string[]): Promise<ExitCode> {
    if (name === undefined || name === "--help" || name === "help") {
        console.log(renderUsage());
        return name === undefined ? ExitCode.Usage : ExitCode.Success;
    }
    const command = commands[name];
    if (command === undefined) {
        console.error(`There is no command "${name}".\n\n${renderUsage()}`);
        return ExitCode.Usage;
    }
    if (rest.includes("--help") && name !== "ctl") {
        console.log(command.help());
        return ExitCode.Success;
    }
    return runReportingErrors(command, rest);
}

async function runReportingErrors(command: Command, commandLine: readonly string[]): Promise<ExitCode> {
    try {
        return await command.run(commandLine);
    }
    catch (error) {
        console.error((error as Error).message);
        return error instanceof SettingsError ? ExitCode.Usage : ExitCode.InternalError;
    }
}

async function printVersion(): Promise<ExitCode> {
    console.log(version);
    return ExitCode.Success;
}

function renderUsage(): string {
    const lines = Object.entries(commands).map(([name, { summary }]) => `  ${name.padEnd(8)} ${summary}`);
    return ["Usage: jasmineline COMMAND [FLAGS]", "", ...lines, "", "COMMAND --help lists its flags."].join("\n");
}
