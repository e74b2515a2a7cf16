/** The configuration of the cluster, which control members replicate and every instance applies. */
import type { DatabaseGroup } from "./database.ts";
import type { DocumentEntry, DocumentHead } from "./document.ts";
import type { Evacuation } from "./evacuation.ts";
import type { LeaseAssignment } from "./lease.ts";
import type { CommitWitness, PromotionRecord } from "./promotion.ts";
import type { WorkClass } from "./workClass.ts";
import type { CallerKey, OpenRoute, Workspace } from "./workspace.ts";

/** Part of the rate and burst of a workspace that is assigned to one data centre. */
export interface RateShare {
    readonly workspace: string;
    readonly dataCentre: string;
    readonly ratePerSecond: number;
    readonly burst: number;
}

/** The configuration at one version. Lists are in insertion order. */
export interface Configuration {
    /** Index of the last log entry that changed the configuration; never decreases. */
    readonly version: number;
    readonly workClasses: readonly WorkClass[];
    readonly workspaces: readonly Workspace[];
    readonly keys: readonly CallerKey[];
    readonly openRoutes: readonly OpenRoute[];
    readonly groups: readonly DatabaseGroup[];
    readonly leases: readonly LeaseAssignment[];
    readonly rateShares: readonly RateShare[];
    /** Empty before the first document, otherwise one element. */
    readonly documentHeads: readonly DocumentHead[];
    readonly documentEntries: readonly DocumentEntry[];
    readonly promotions: readonly PromotionRecord[];
    readonly commitWitnesses: readonly CommitWitness[];
    readonly evacuations: readonly Evacuation[];
}

/** The configuration of a new cluster. */
export const emptyConfiguration: Configuration = {
    version: 0,
    workClasses: [],
    workspaces: [],
    keys: [],
    openRoutes: [],
    groups: [],
    leases: [],
    rateShares: [],
    documentHeads: [],
    documentEntries: [],
    promotions: [],
    commitWitnesses: [],
    evacuations: [],
};
