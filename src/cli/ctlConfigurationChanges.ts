/** The ctl commands that change the configuration: work classes, workspaces, keys and open routes. */
import { createHmac, randomUUID } from "node:crypto";
import { doubleSha1Hex } from "../frontend/proofVerifier.ts";
import { CommandKind, ProposalStatus } from "../model/controlMessages.ts";
import { defaultWorkClass, type WorkClass } from "../model/workClass.ts";
import type { Workspace } from "../model/workspace.ts";
import type { ChangeResponse, ShowResponse } from "../rpc/generated/operator.ts";
import type { OperatorCommand } from "../rpc/operatorCommandCodec.ts";
import {
    changeSettingsTable,
    issueKeySettingsTable,
    openRouteSettingsTable,
    workClassSettingsTable,
    workspaceSettingsTable,
} from "../settings/ctlSettings.ts";
import { SettingsError, type SettingsTable, type SettingValues } from "../settings/settingsTable.ts";
import { type CtlContext, openCtlContext } from "./ctlContext.ts";
import { ExitCode } from "./exitCode.ts";
import { escapeControls } from "./terminalText.ts";

type ChangeSettings = SettingValues<typeof changeSettingsTable>;

const workClassTable = { ...workClassSettingsTable, ...changeSettingsTable };
const workspaceTable = { ...workspaceSettingsTable, ...changeSettingsTable };

/**
 * Sends a change and prints the result.
 * @param operationId identifies the change, so that the leader applies it once when an operator repeats the command
 * @param secret fields to print with a result that was applied: the id and the secret of a new key
 */
async function sendChange<Table extends SettingsTable>(
    context: CtlContext<Table>,
    command: OperatorCommand,
    operationId = (context.values as unknown as ChangeSettings)["operation-id"] ?? randomUUID(),
    secret?: Readonly<Record<string, string>>,
): Promise<ExitCode> {
    const response = await context.client.change(operationId, command);
    printChangeResult(response, operationId, context.isJsonOutput, secret);
    return exitCodeOf(response);
}

export async function createWorkClass(name: string, commandLine: readonly string[]): Promise<ExitCode> {
    await using context = openCtlContext(workClassTable, commandLine);
    const workClass = mergeTargets(name, context.values, defaultWorkClass);
    return sendChange(context, { kind: CommandKind.SetWorkClass, expectedVersion: 0, workClass });
}

export async function changeWorkClass(name: string, commandLine: readonly string[]): Promise<ExitCode> {
    await using context = openCtlContext(workClassTable, commandLine);
    const { workClasses } = await context.client.show();
    const current = workClasses.find(each => each.body?.name === name);
    if (current?.body === undefined) {
        return reportMissingObject("work class", name);
    }
    const workClass = mergeTargets(name, context.values, current.body as Omit<WorkClass, "version">);
    const expectedVersion = context.values["expected-version"] ?? current.version;
    return sendChange(context, { kind: CommandKind.SetWorkClass, expectedVersion, workClass });
}

export async function removeWorkClass(name: string, commandLine: readonly string[]): Promise<ExitCode> {
    return removeObject("work class", name, commandLine, (configuration, expectedVersion) => {
        const existing = configuration.workClasses.find(each => each.body?.name === name);
        return existing && {
            kind: CommandKind.RemoveWorkClass,
            name,
            expectedVersion: expectedVersion ?? existing.version,
        };
    });
}

export async function createWorkspace(name: string, commandLine: readonly string[]): Promise<ExitCode> {
    await using context = openCtlContext(workspaceTable, commandLine);
    const { rate, burst } = context.values;
    if (rate === undefined || burst === undefined) {
        throw new SettingsError("a new workspace needs --rate and --burst");
    }
    const workspace = mergeLimits(name, context.values, { ratePerSecond: rate, burst, keyValidityMs: 10_000 });
    return sendChange(context, { kind: CommandKind.SetWorkspace, expectedVersion: 0, workspace });
}

export async function changeWorkspace(name: string, commandLine: readonly string[]): Promise<ExitCode> {
    await using context = openCtlContext(workspaceTable, commandLine);
    const { workspaces } = await context.client.show();
    const current = workspaces.find(each => each.body?.name === name);
    if (current?.body === undefined) {
        return reportMissingObject("workspace", name);
    }
    const workspace = mergeLimits(name, context.values, current.body);
    const expectedVersion = context.values["expected-version"] ?? current.version;
    return sendChange(context, { kind: CommandKind.SetWorkspace, expectedVersion, workspace });
}

export async function removeWorkspace(name: string, commandLine: readonly string[]): Promise<ExitCode> {
    return removeObject("workspace", name, commandLine, (configuration, expectedVersion) => {
        const existing = configuration.workspaces.find(each => each.body?.name === name);
        return existing && {
            kind: CommandKind.RemoveWorkspace,
            name,
            expectedVersion: expectedVersion ?? existing.version,
        };
    });
}

/**
 * Issues a key and prints its secret. Only the digest of the secret is sent to the server. The secret is derived from
 * the cluster secret, the operation id and the key id: an operator who lost the answer repeats the command with the
 * same operation id and key id and gets the secret of the key that was created.
 */
export async function issueKey(workspace: string, commandLine: readonly string[]): Promise<ExitCode> {
    await using context = openCtlContext({ ...issueKeySettingsTable, ...changeSettingsTable }, commandLine);
    const operationId = context.values["operation-id"] ?? randomUUID();
    const id = context.values.id ?? `key-${deriveHex(context.clusterSecret, "id", operationId).slice(0, 12)}`;
    const secret = deriveHex(context.clusterSecret, "secret", `${operationId}|${id}`);
    const key = { id, workspace, doubleSha1Hex: doubleSha1Hex(secret) };
    return sendChange(context, { kind: CommandKind.IssueKey, expectedVersion: 0, key }, operationId, { id, secret });
}

function deriveHex(clusterSecret: string, purpose: string, input: string): string {
    return createHmac("sha256", clusterSecret).update(`issue key|${purpose}|${input}`).digest("hex").slice(0, 40);
}

export async function withdrawKey(id: string, commandLine: readonly string[]): Promise<ExitCode> {
    return removeObject("key", id, commandLine, (configuration, expectedVersion) => {
        const existing = configuration.keys.find(each => each.id === id);
        return existing && { kind: CommandKind.WithdrawKey, id, expectedVersion: expectedVersion ?? existing.version };
    });
}

export async function openRoute(service: string, commandLine: readonly string[]): Promise<ExitCode> {
    await using context = openCtlContext({ ...openRouteSettingsTable, ...changeSettingsTable }, commandLine);
    const { workspace } = context.values;
    const { openRoutes } = await context.client.show();
    const current = openRoutes.find(each => each.body?.service === service)?.version ?? 0;
    const expectedVersion = context.values["expected-version"] ?? current;
    const command = { kind: CommandKind.SetOpenRoute, expectedVersion, openRoute: { service, workspace } };
    return sendChange(context, command);
}

export async function closeRoute(service: string, commandLine: readonly string[]): Promise<ExitCode> {
    return removeObject("open route", service, commandLine, (configuration, expectedVersion) => {
        const existing = configuration.openRoutes.find(each => each.body?.service === service);
        return existing && {
            kind: CommandKind.RemoveOpenRoute,
            service,
            expectedVersion: expectedVersion ?? existing.version,
        };
    });
}

/**
 * Removes an object of the configuration.
 * @param buildCommand creates the command from the current configuration; undefined when the object does not exist
 */
async function removeObject(
    objectType: string,
    name: string,
    commandLine: readonly string[],
    buildCommand: (configuration: ShowResponse, expectedVersion: number | undefined) => OperatorCommand | undefined,
): Promise<ExitCode> {
    await using context = openCtlContext(changeSettingsTable, commandLine);
    const command = buildCommand(await context.client.show(), context.values["expected-version"]);
    return command === undefined ? reportMissingObject(objectType, name) : sendChange(context, command);
}

function mergeTargets(
    name: string,
    values: SettingValues<typeof workClassSettingsTable>,
    current: Omit<WorkClass, "version">,
): Omit<WorkClass, "version"> {
    return {
        name,
        maximumAgeMs: values["max-age-ms"] ?? current.maximumAgeMs,
        waitingMs: values["waiting-ms"] ?? current.waitingMs,
        repeat: values.repeat ?? current.repeat,
        objectiveShare: values.objective ?? current.objectiveShare,
    };
}

function mergeLimits(
    name: string,
    values: SettingValues<typeof workspaceSettingsTable>,
    current: Omit<Workspace, "name" | "version">,
): Omit<Workspace, "version"> {
    return {
        name,
        ratePerSecond: values.rate ?? current.ratePerSecond,
        burst: values.burst ?? current.burst,
        keyValidityMs: values["key-validity-ms"] ?? current.keyValidityMs,
    };
}

function printChangeResult(
    response: ChangeResponse,
    operationId: string,
    isJsonOutput: boolean,
    secret: Readonly<Record<string, string>> | undefined,
): void {
    const applied = response.status === ProposalStatus.Applied;
    const { status, version, configurationVersion, detail } = response;
    if (isJsonOutput) {
        const printedSecret = applied ? secret : undefined;
        console.log(JSON.stringify({ status, version, configurationVersion, detail, operationId, ...printedSecret }));
        return;
    }
    if (!applied) {
        console.error(
            `${escapeControls(`${status}: ${detail}`)} (current version ${version}, operation ${operationId})`,
        );
        return;
    }
    console.log(`applied: version ${version}, configuration ${configurationVersion}, operation ${operationId}`);
    Object.entries(secret ?? {}).forEach(([name, value]) => console.log(`${name}: ${value}`));
}

function exitCodeOf({ status }: ChangeResponse): ExitCode {
    switch (status) {
        case ProposalStatus.Applied:
            return ExitCode.Success;
        case ProposalStatus.Conflict:
            return ExitCode.Conflict;
        default:
            return ExitCode.Invalid;
    }
}

function reportMissingObject(objectType: string, name: string): ExitCode {
    console.error(`There is no ${objectType} "${escapeControls(name)}".`);
    return ExitCode.Invalid;
}
