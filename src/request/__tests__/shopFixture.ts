/** Configuration and databases of a workspace, as the tests of the request pipe use them. */
import type { DatabaseView } from "../../model/clusterMessages.ts";
import { type Configuration, emptyConfiguration } from "../../model/configuration.ts";
import type { DatabaseRole } from "../../model/database.ts";
import { ResourceKind } from "../../model/lease.ts";

export const shopConfiguration: Configuration = {
    ...emptyConfiguration,
    version: 5,
    workspaces: [{ name: "shop", ratePerSecond: 10, burst: 10, keyValidityMs: 10_000, version: 1 }],
    keys: [{ id: "key-1", workspace: "shop", doubleSha1Hex: "good", version: 1 }],
    openRoutes: [{ service: "catalogue", workspace: "shop", version: 1 }],
};

export function createDatabase(databaseId: string, role: DatabaseRole, epoch = 1): DatabaseView {
    return {
        databaseId,
        groupId: "g",
        service: "boards",
        dataCentre: "a",
        address: "",
        slots: 3,
        connectionLimit: 20,
        role,
        position: { term: 1, offset: 0 },
        groupSize: 3,
        available: true,
        holder: {
            resource: ResourceKind.Database,
            resourceId: databaseId,
            instanceId: "e1",
            instanceAddress: "",
            epoch,
        },
    };
}
