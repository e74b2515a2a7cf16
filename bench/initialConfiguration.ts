/** Initial configuration of a cluster in the rate model. */
import { type Configuration, emptyConfiguration, type RateShare } from "../src/model/configuration.ts";
import { type LeaseAssignment, ResourceKind } from "../src/model/lease.ts";
import { permitResourceId } from "../src/model/permitResource.ts";
import type { Workspace } from "../src/model/workspace.ts";

export interface ClusterSize {
    readonly workspaces: readonly Workspace[];
    readonly dataCentres: readonly string[];
    readonly instancesPerDataCentre: number;
}

/** @param hasEqualShares whether each data centre has an equal share of each rate from the beginning */
export function createInitialConfiguration(size: ClusterSize, hasEqualShares: boolean): Configuration {
    return {
        ...emptyConfiguration,
        version: 1,
        workspaces: size.workspaces,
        leases: permitLeases(size),
        rateShares: hasEqualShares ? equalShares(size) : [],
    };
}

/** Assigns permit homes round-robin to the instances of each data centre. */
function permitLeases({ dataCentres, instancesPerDataCentre, workspaces }: ClusterSize): readonly LeaseAssignment[] {
    return dataCentres.flatMap((dataCentre, dataCentreIndex) =>
        workspaces.map((workspace, index) => {
            const holder = `instance${dataCentreIndex * instancesPerDataCentre + index % instancesPerDataCentre}`;
            return {
                resource: ResourceKind.Permits,
                resourceId: permitResourceId(workspace.name, dataCentre),
                instanceId: holder,
                instanceAddress: holder,
                epoch: 1,
            };
        })
    );
}

function equalShares({ dataCentres, workspaces }: ClusterSize): readonly RateShare[] {
    return workspaces.flatMap(workspace =>
        dataCentres.map(dataCentre => ({
            workspace: workspace.name,
            dataCentre,
            ratePerSecond: workspace.ratePerSecond / dataCentres.length,
            burst: Math.floor(workspace.burst / dataCentres.length),
        }))
    );
}
