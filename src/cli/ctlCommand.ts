/** `jasmineline ctl`: the command-line client for operators. */
import { RefusedError, UnreachableError } from "../rpc/operatorClient.ts";
import {
    burnReportSettingsTable,
    changeSettingsTable,
    ctlSettingsTable,
    explainSettingsTable,
    issueKeySettingsTable,
    openRouteSettingsTable,
    operationSettingsTable,
    workClassSettingsTable,
    workspaceSettingsTable,
} from "../settings/ctlSettings.ts";
import { describeSettings, SettingsError, type SettingsTable } from "../settings/settingsTable.ts";
import {
    changeWorkClass,
    changeWorkspace,
    closeRoute,
    createWorkClass,
    createWorkspace,
    issueKey,
    openRoute,
    removeWorkClass,
    removeWorkspace,
    withdrawKey,
} from "./ctlConfigurationChanges.ts";
import { beginEvacuation, endEvacuation } from "./ctlEvacuations.ts";
import { explainStatement } from "./ctlExplain.ts";
import { changePrimary, drainInstance, showBurnReport, showObjects, showStatus } from "./ctlStatusCommands.ts";
import { ExitCode } from "./exitCode.ts";
import { escapeControls } from "./terminalText.ts";

/** A command, for example `class create NAME`. */
interface CtlCommand {
    readonly words: readonly string[];
    /** Placeholder of the positional argument after the words; undefined when the command takes none. */
    readonly argument?: string;
    readonly summary: string;
    readonly table: SettingsTable;
    run(argument: string, commandLine: readonly string[]): Promise<ExitCode>;
}

const changeTable = changeSettingsTable;
const workClassTable = { ...workClassSettingsTable, ...changeSettingsTable };
const workspaceTable = { ...workspaceSettingsTable, ...changeSettingsTable };

const commands: readonly CtlCommand[] = [
    {
        words: ["class", "create"],
        argument: "NAME",
        summary: "create a work class",
        table: workClassTable,
        run: createWorkClass,
    },
    {
        words: ["class", "change"],
        argument: "NAME",
        summary: "change targets",
        table: workClassTable,
        run: changeWorkClass,
    },
    {
        words: ["class", "remove"],
        argument: "NAME",
        summary: "remove a work class",
        table: changeTable,
        run: removeWorkClass,
    },
    { words: ["class", "show"], summary: "list the work classes", table: {}, run: showObjects("class") },
    {
        words: ["workspace", "create"],
        argument: "NAME",
        summary: "create a workspace",
        table: workspaceTable,
        run: createWorkspace,
    },
    {
        words: ["workspace", "change"],
        argument: "NAME",
        summary: "change its limits",
        table: workspaceTable,
        run: changeWorkspace,
    },
    {
        words: ["workspace", "remove"],
        argument: "NAME",
        summary: "remove a workspace without keys and routes",
        table: changeTable,
        run: removeWorkspace,
    },
    { words: ["workspace", "show"], summary: "list the workspaces", table: {}, run: showObjects("workspace") },
    {
        words: ["key", "issue"],
        argument: "WORKSPACE",
        summary: "issue a key; its secret is shown this once",
        table: { ...issueKeySettingsTable, ...changeSettingsTable },
        run: issueKey,
    },
    { words: ["key", "withdraw"], argument: "ID", summary: "withdraw a key", table: changeTable, run: withdrawKey },
    { words: ["key", "show"], summary: "list the keys", table: {}, run: showObjects("key") },
    {
        words: ["route", "open"],
        argument: "SERVICE",
        summary: "open a service to callers without a key",
        table: { ...openRouteSettingsTable, ...changeSettingsTable },
        run: openRoute,
    },
    { words: ["route", "close"], argument: "SERVICE", summary: "close it again", table: changeTable, run: closeRoute },
    { words: ["route", "show"], summary: "list the open routes", table: {}, run: showObjects("route") },
    {
        words: ["evacuation", "begin"],
        argument: "DATA_CENTRE",
        summary: "send no more work to its databases",
        table: operationSettingsTable,
        run: beginEvacuation,
    },
    {
        words: ["evacuation", "end"],
        argument: "DATA_CENTRE",
        summary: "send them work again",
        table: operationSettingsTable,
        run: endEvacuation,
    },
    { words: ["evacuation", "show"], summary: "list the evacuations", table: {}, run: showObjects("evacuation") },
    { words: ["status"], summary: "show instance, databases and groups", table: {}, run: showStatus },
    { words: ["drain"], summary: "stop the instance gracefully", table: {}, run: drainInstance },
    {
        words: ["primary", "change"],
        argument: "GROUP",
        summary: "start a planned change of primary",
        table: {},
        run: changePrimary,
    },
    {
        words: ["explain"],
        argument: "DATABASE",
        summary: "show where a statement would go now, without sending it",
        table: explainSettingsTable,
        run: explainStatement,
    },
    {
        words: ["report", "burn"],
        summary: "report on service-level burn",
        table: burnReportSettingsTable,
        run: showBurnReport,
    },
];

/**
 * Finds the command by its leading words and runs it.
 * @throws SettingsError for a missing argument or an invalid flag
 */
export async function runCtl(commandLine: readonly string[]): Promise<ExitCode> {
    const command = commands.find(each => each.words.every((word, index) => commandLine[index] === word));
    if (command === undefined) {
        return printUsage(commandLine);
    }
    const rest = commandLine.slice(command.words.length);
    if (rest.includes("--help")) {
        console.log(renderHelp(command));
        return ExitCode.Success;
    }
    if (command.argument === undefined) {
        return runReportingFailure(() => command.run("", rest));
    }
    const [argument, ...flags] = rest;
    if (argument === undefined || argument.startsWith("--")) {
        throw new SettingsError(`"${command.words.join(" ")}" needs ${command.argument} before its flags`);
    }
    return runReportingFailure(() => command.run(argument, flags));
}

async function runReportingFailure(run: () => Promise<ExitCode>): Promise<ExitCode> {
    try {
        return await run();
    }
    catch (error) {
        if (error instanceof UnreachableError || error instanceof RefusedError) {
            console.error(escapeControls(error.message));
            return error instanceof UnreachableError ? ExitCode.Unreachable : ExitCode.Refused;
        }
        throw error;
    }
}

function printUsage(commandLine: readonly string[]): ExitCode {
    const list = commands.map(command => `  ${renderUsage(command).padEnd(28)} ${command.summary}`).join("\n");
    const text = `Usage: jasmineline ctl COMMAND [FLAGS]\n\n${list}\n\nCOMMAND --help lists its flags.`;
    if (commandLine[0] === "--help") {
        console.log(text);
        return ExitCode.Success;
    }
    const givenWords = escapeControls(commandLine.filter(word => !word.startsWith("--")).join(" "));
    console.error(givenWords === "" ? text : `There is no ctl command "${givenWords}".\n\n${text}`);
    return ExitCode.Usage;
}

function renderUsage({ words, argument }: CtlCommand): string {
    return [...words, ...argument === undefined ? [] : [argument]].join(" ");
}

function renderHelp(command: CtlCommand): string {
    const settings = describeSettings({ ...command.table, ...ctlSettingsTable });
    return `Usage: jasmineline ctl ${renderUsage(command)} [FLAGS]\n\n${command.summary}\n\n${settings}`;
}
