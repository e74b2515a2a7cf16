/** The ctl commands that begin and end the evacuation of a data centre. Both may be repeated. */
import { randomUUID } from "node:crypto";
import { userInfo } from "node:os";
import { CommandKind, ProposalStatus } from "../model/controlMessages.ts";
import type { EvacuationCommand } from "../rpc/operatorCommandCodec.ts";
import { operationSettingsTable } from "../settings/ctlSettings.ts";
import { openCtlContext } from "./ctlContext.ts";
import { ExitCode } from "./exitCode.ts";
import { escapeControls } from "./terminalText.ts";

export async function beginEvacuation(dataCentre: string, commandLine: readonly string[]): Promise<ExitCode> {
    const evacuation = { dataCentre, orderedBy: operatorName(), orderedAtUnixMs: Date.now() };
    return order({ kind: CommandKind.BeginEvacuation, evacuation }, commandLine);
}

export async function endEvacuation(dataCentre: string, commandLine: readonly string[]): Promise<ExitCode> {
    return order({ kind: CommandKind.EndEvacuation, dataCentre }, commandLine);
}

function operatorName(): string {
    try {
        return userInfo().username;
    }
    catch {
        // The system knows no user by this id, as in some containers.
        return `uid ${process.getuid?.() ?? "unknown"}`;
    }
}

/** Sends an order and prints the result. A conflict tells that nothing had to change, which is no failure. */
async function order(command: EvacuationCommand, commandLine: readonly string[]): Promise<ExitCode> {
    await using context = openCtlContext(operationSettingsTable, commandLine);
    const operationId = context.values["operation-id"] ?? randomUUID();
    const { status, version, configurationVersion, detail } = await context.client.change(operationId, command);
    const isInForce = status === ProposalStatus.Applied || status === ProposalStatus.Conflict;
    if (context.isJsonOutput) {
        console.log(JSON.stringify({ status, version, configurationVersion, detail, operationId }));
    }
    else if (isInForce) {
        const change = status === ProposalStatus.Applied ? "applied" : `unchanged: ${escapeControls(detail)}`;
        console.log(`${change}, configuration ${configurationVersion}, operation ${operationId}`);
    }
    else {
        console.error(`${escapeControls(`${status}: ${detail}`)} (operation ${operationId})`);
    }
    return isInForce ? ExitCode.Success : ExitCode.Invalid;
}
