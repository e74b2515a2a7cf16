/** `ctl explain`: shows where a statement would go now, and why, as one instance sees it. */
import { ExplanationClient } from "../rpc/explanationClient.ts";
import type { ExplainResponse, FindingMessage } from "../rpc/generated/explanations.ts";
import { explainSettingsTable, StatementEffect } from "../settings/ctlSettings.ts";
import { openCtlContext } from "./ctlContext.ts";
import { ExitCode } from "./exitCode.ts";
import { escapeControls } from "./terminalText.ts";
import { renderTable } from "./textTable.ts";

/** Asks the first of the given servers; nothing is sent to a database. */
export async function explainStatement(database: string, commandLine: readonly string[]): Promise<ExitCode> {
    await using context = openCtlContext(explainSettingsTable, commandLine);
    const { clientFactory, servers, timeoutMs, values: { workspace = "", effect } } = context;
    await using client = new ExplanationClient({ server: servers[0]!, clientFactory, timeoutMs });
    const response = await client.explain({ database, workspace, writes: effect === StatementEffect.Write });
    console.log(context.isJsonOutput ? JSON.stringify(response) : renderExplanation(response));
    return ExitCode.Success;
}

export function renderExplanation({ instanceId, findings }: ExplainResponse): string {
    const rows = findings.map(finding => [
        finding.step,
        finding.subject,
        finding.verdict.replaceAll("_", " "),
        finding.reason,
        renderFacts(finding),
    ]);
    return [
        `as instance ${escapeControls(instanceId)} sees it now; nothing was sent`,
        "",
        renderTable(["STEP", "SUBJECT", "VERDICT", "REASON", "FACTS"], rows),
    ].join("\n");
}

function renderFacts({ facts }: FindingMessage): string {
    return Object.entries(facts).map(([name, value]) => `${name}=${value}`).join(" ");
}
