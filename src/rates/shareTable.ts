/** Lookup of the lease epochs and rate shares that permit homes need from one configuration. */
import type { Configuration } from "../model/configuration.ts";
import { ResourceKind } from "../model/lease.ts";
import { permitResourceId } from "../model/permitResource.ts";

/** Part of a workspace's rate and burst that one data centre may use. */
export interface Share {
    readonly ratePerSecond: number;
    readonly burst: number;
}

export const zeroShare: Share = { ratePerSecond: 0, burst: 0 };

/** Built once per configuration, because permit homes look up each of their leases at every heartbeat. */
export class ShareTable {
    readonly version: number;
    private readonly shares = new Map<string, Share>();
    private readonly epochs = new Map<string, number>();

    constructor(configuration: Configuration) {
        this.version = configuration.version;
        for (const lease of configuration.leases) {
            if (lease.resource === ResourceKind.Permits) {
                this.epochs.set(lease.resourceId, lease.epoch);
            }
        }
        this.addShares(configuration);
    }

    /** Epoch of a permit home's lease in this configuration. */
    epochOf(resourceId: string): number | undefined {
        return this.epochs.get(resourceId);
    }

    shareOf(resourceId: string): Share {
        return this.shares.get(resourceId) ?? zeroShare;
    }

    // After a workspace's rate is lowered, the configured shares exceed it until the leader has divided it again.
    // Meanwhile every home scales its share down by the same factor.
    private addShares(configuration: Configuration): void {
        const sums = new Map<string, Share>();
        for (const { workspace, ratePerSecond, burst } of configuration.rateShares) {
            const sum = sums.get(workspace) ?? zeroShare;
            sums.set(workspace, { ratePerSecond: sum.ratePerSecond + ratePerSecond, burst: sum.burst + burst });
        }
        const totals = new Map(configuration.workspaces.map(workspace => [workspace.name, workspace]));
        for (const { workspace, dataCentre, ratePerSecond, burst } of configuration.rateShares) {
            const total = totals.get(workspace) ?? zeroShare;
            const sum = sums.get(workspace)!;
            this.shares.set(permitResourceId(workspace, dataCentre), {
                ratePerSecond: scaledDown(ratePerSecond, sum.ratePerSecond, total.ratePerSecond),
                burst: scaledDown(burst, sum.burst, total.burst),
            });
        }
    }
}

function scaledDown(part: number, sum: number, limit: number): number {
    return sum <= limit ? part : part * limit / sum;
}
