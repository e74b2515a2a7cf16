/** The ctl commands that print configuration, status and the burn report, and those that drain or change a primary. */
import { writeFileSync } from "node:fs";
import { buildBurnReport, type BurnReport } from "../report/burnReport.ts";
import type { InstanceSnapshot } from "../report/recordOutcomes.ts";
import { renderHtml } from "../report/renderHtml.ts";
import { renderJson } from "../report/renderJson.ts";
import { renderText } from "../report/renderText.ts";
import type { ShowResponse, StatusResponse } from "../rpc/generated/operator.ts";
import type { OperatorClient } from "../rpc/operatorClient.ts";
import { burnReportSettingsTable } from "../settings/ctlSettings.ts";
import { openCtlContext } from "./ctlContext.ts";
import { ExitCode } from "./exitCode.ts";
import { escapeControls } from "./terminalText.ts";
import { renderTable } from "./textTable.ts";

/** Types of configuration objects that have a `show` command. */
type ObjectType = "class" | "workspace" | "key" | "route" | "evacuation";

interface Listing {
    readonly headings: readonly string[];
    readonly rows: readonly (readonly (string | number)[])[];
}

/** Creates the `show` command of an object type. With JSON output it prints the objects of all types. */
export function showObjects(
    objectType: ObjectType,
): (argument: string, commandLine: readonly string[]) => Promise<ExitCode> {
    return async (_, commandLine) => {
        await using context = openCtlContext({}, commandLine);
        const configuration = await context.client.show();
        if (context.isJsonOutput) {
            console.log(JSON.stringify(configuration));
            return ExitCode.Success;
        }
        const { headings, rows } = listObjects(objectType, configuration);
        console.log(renderTable(headings, rows));
        console.log(`configuration ${configuration.configurationVersion}`);
        return ExitCode.Success;
    };
}

/** Prints the status of the instance and the databases that it knows. */
export async function showStatus(_: string, commandLine: readonly string[]): Promise<ExitCode> {
    await using context = openCtlContext({}, commandLine);
    const status = await context.client.status();
    console.log(context.isJsonOutput ? JSON.stringify(status) : renderStatus(status));
    return ExitCode.Success;
}

/** Starts the graceful shutdown of the instance and returns without waiting for its end. */
export async function drainInstance(_: string, commandLine: readonly string[]): Promise<ExitCode> {
    await using context = openCtlContext({}, commandLine);
    await context.client.drain();
    console.log(context.isJsonOutput ? JSON.stringify({ draining: true }) : "draining");
    return ExitCode.Success;
}

/** Starts a planned change of the primary of a group and returns at once; `status` shows when it has ended. */
export async function changePrimary(group: string, commandLine: readonly string[]): Promise<ExitCode> {
    await using context = openCtlContext({}, commandLine);
    const { refusal } = await context.client.changePrimary(group);
    if (refusal !== "") {
        console.error(escapeControls(refusal));
        return ExitCode.Invalid;
    }
    console.log(
        context.isJsonOutput
            ? JSON.stringify({ started: group })
            : `started the change of primary of ${escapeControls(group)}`,
    );
    return ExitCode.Success;
}

/** Prints the burn report, and writes it as HTML when `--html` is given. */
export async function showBurnReport(_: string, commandLine: readonly string[]): Promise<ExitCode> {
    await using context = openCtlContext(burnReportSettingsTable, commandLine);
    const report = await collectBurnReport(context.client);
    const { html } = context.values;
    if (html !== undefined) {
        writeFileSync(html, renderHtml(report));
    }
    console.log(context.isJsonOutput ? renderJson(report) : renderText(report));
    return ExitCode.Success;
}

/**
 * Requests the snapshots of all instances that the first server knows and merges them. The report lists instances that
 * did not answer as missing.
 */
async function collectBurnReport(client: OperatorClient): Promise<BurnReport> {
    const { knownInstances } = await client.burn();
    const answers = await Promise.allSettled(Object.values(knownInstances).map(address => client.burn(address)));
    const snapshots = answers.flatMap(answer =>
        answer.status === "fulfilled" ? [JSON.parse(answer.value.snapshot) as InstanceSnapshot] : []
    );
    return buildBurnReport(snapshots, Object.keys(knownInstances), new Date().toISOString());
}

function listObjects(objectType: ObjectType, configuration: ShowResponse): Listing {
    switch (objectType) {
        case "class":
            return {
                headings: ["CLASS", "MAX_AGE_MS", "WAITING_MS", "REPEAT", "OBJECTIVE", "VERSION"],
                rows: configuration.workClasses.map(({ body, version }) => [
                    body!.name,
                    body!.maximumAgeMs,
                    body!.waitingMs,
                    body!.repeat,
                    body!.objectiveShare,
                    version,
                ]),
            };
        case "workspace":
            return {
                headings: ["WORKSPACE", "RATE_PER_S", "BURST", "KEY_VALIDITY_MS", "VERSION"],
                rows: configuration.workspaces.map(({ body, version }) => [
                    body!.name,
                    body!.ratePerSecond,
                    body!.burst,
                    body!.keyValidityMs,
                    version,
                ]),
            };
        case "key":
            return {
                headings: ["KEY", "WORKSPACE", "VERSION"],
                rows: configuration.keys.map(({ id, workspace, version }) => [id, workspace, version]),
            };
        case "route":
            return {
                headings: ["SERVICE", "WORKSPACE", "VERSION"],
                rows: configuration.openRoutes.map(({ body, version }) => [body!.service, body!.workspace, version]),
            };
        case "evacuation":
            return {
                headings: ["DATA_CENTRE", "ORDERED_BY", "ORDERED_AT", "VERSION"],
                rows: configuration.evacuations.map(({ body, version }) => [
                    body!.dataCentre,
                    body!.orderedBy,
                    timeText(body!.orderedAtUnixMs),
                    version,
                ]),
            };
    }
}

/** An operator's machine may have sent a time that is none. */
function timeText(unixMs: number): string {
    const time = new Date(unixMs);
    return Number.isNaN(time.getTime()) ? "unknown" : time.toISOString();
}

function renderStatus({ instance, databases }: StatusResponse): string {
    const lastProved = instance!.provedAgeMs < 0 ? "never" : `${Math.round(instance!.provedAgeMs)} ms ago`;
    const summaryLines = [
        `instance ${escapeControls(`${instance!.instanceId} in ${instance!.dataCentre}`)}${
            instance!.draining ? ", draining" : ""
        }`,
        `configuration ${instance!.configurationVersion}, proved ${lastProved}`,
        `${instance!.connections} client connections, ${instance!.leasesHeld} leases`,
        ...instance!.storageSuspension === ""
            ? []
            : [`the disk takes no writes: ${escapeControls(instance!.storageSuspension)}`],
    ];
    const table = renderTable(
        ["GROUP", "DATABASE", "SERVICE", "DATA_CENTRE", "ROLE", "AVAILABLE", "POSITION", "HOLDER"],
        databases.map(each => [
            each.groupId,
            each.databaseId,
            each.service,
            each.dataCentre,
            each.role,
            each.available ? "yes" : "no",
            `${each.term}:${each.offset}`,
            each.holder === "" ? "none" : each.holder,
        ]),
    );
    return [...summaryLines, "", table].join("\n");
}
