/** Explains what the policy says of a caller: its route, its workspace, and whether this instance takes new work. */
import {
    endExplanation,
    type ExplanationAsked,
    type ExplanationEnded,
    type Facts,
    type Finding,
    Verdict,
    withFindings,
} from "../model/explanation.ts";
import { commonHomeRegions } from "../model/trafficPolicy.ts";
import type { PolicyAccess } from "./policyAccess.ts";

const step = "sessions";

export function explainAccess(
    asked: ExplanationAsked,
    { policy, isOutdated }: Pick<PolicyAccess, "policy" | "isOutdated">,
    isStopping: boolean,
): ExplanationAsked | ExplanationEnded {
    const versionFacts: Facts = {
        version: policy.version,
        ...isOutdated ? { newer_configuration: "cannot_be_decoded" } : {},
    };
    const { database, workspace } = asked.request;
    const refuse = (subject: string, reason: string): ExplanationEnded =>
        endExplanation(asked, [{
            step,
            subject,
            verdict: Verdict.Refused,
            reason,
            facts: versionFacts,
        }]);
    if (isStopping) {
        return refuse(database, "the instance stops and takes no new work");
    }
    const route = policy.routesByDatabase.get(database);
    if (route === undefined) {
        return refuse(
            database,
            policy.version === 0 ? "no configuration yet" : "the configuration has no route of this name",
        );
    }
    if (workspace === "" ? !route.open : !policy.workspaces.has(workspace)) {
        return refuse(
            workspace,
            workspace === "" ? "the route needs a key" : "the configuration has no such workspace",
        );
    }
    const workspaceHomes = policy.workspaces.get(workspace)?.homeRegions;
    const homeRegions = commonHomeRegions(route.homeRegions, workspaceHomes);
    const finding: Finding = {
        step,
        subject: database,
        verdict: Verdict.Passes,
        reason: `route "${route.name}" to service "${route.service}"`,
        facts: {
            ...versionFacts,
            consistency: route.consistency,
            maximum_age_ms: route.maximumAgeMs,
            priority: route.priority,
            target_ms: route.targetLatencyMs,
            limit_ms: route.statementLimitMs,
            ...homesFact("route_homes", route.homeRegions),
            ...homesFact("workspace_homes", workspaceHomes),
        },
    };
    return withFindings(asked, [finding], { route, ...homeRegions === undefined ? {} : { homeRegions } });
}

function homesFact(name: string, regions: readonly string[] = []): Facts {
    return regions.length === 0 ? {} : { [name]: regions.join(",") };
}
