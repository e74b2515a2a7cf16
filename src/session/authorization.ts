/** Resolves the route and the workspace of a caller according to the current policy. */
import { StatementFault } from "../model/sessionStatement.ts";
import { commonHomeRegions, type RoutePolicy, type TrafficPolicy } from "../model/trafficPolicy.ts";

export interface Access {
    readonly route: RoutePolicy;
    /** Empty for callers of open routes without a key. */
    readonly workspace: string;
    /** Regions that the route and the workspace allow together; undefined if both allow all. */
    readonly homeRegions: readonly string[] | undefined;
}

export interface AccessFault {
    readonly fault: StatementFault;
    readonly detail: string;
}

export function authorize(policy: TrafficPolicy, database: string, key: string): Access | AccessFault {
    const route = policy.routesByDatabase.get(database);
    const source = `configuration ${policy.version}`;
    if (route === undefined) {
        return { fault: StatementFault.UnknownDatabase, detail: `no database of this name is served by ${source}` };
    }
    const workspace = policy.workspaceByKey.get(key);
    if (workspace === undefined && !route.open) {
        return { fault: StatementFault.NotAuthorized, detail: `the key is unknown or withdrawn in ${source}` };
    }
    const homeRegions = commonHomeRegions(
        route.homeRegions,
        workspace === undefined ? undefined : policy.workspaces.get(workspace)?.homeRegions,
    );
    return { route, workspace: workspace ?? "", homeRegions };
}

export function isFault(access: Access | AccessFault): access is AccessFault {
    return "fault" in access;
}
