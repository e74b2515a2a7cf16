/** The agreed configuration, in force on every instance. */
import type { DatabaseGroup } from "./database.ts";
import type { DocumentEntry, DocumentHead } from "./document.ts";
import type { LeaseAssignment } from "./lease.ts";
import type { PromotionRecord } from "./promotion.ts";
import type { WorkClass } from "./workClass.ts";
import type { CallerKey, OpenRoute, Workspace } from "./workspace.ts";

/** Part of a workspace's rate and burst that one data centre may spend. */
export interface RateShare {
    readonly workspace: string;
    readonly dataCentre: string;
    readonly ratePerSecond: number;
    readonly burst: number;
}

/** The whole agreed state at one version. Lists are in insertion order. */
export interface Configuration {
    /** Index of the last applied log entry; never falls. */
    readonly version: number;
    readonly workClasses: readonly WorkClass[];
    readonly workspaces: readonly Workspace[];
    readonly keys: readonly CallerKey[];
    readonly openRoutes: readonly OpenRoute[];
    readonly groups: readonly DatabaseGroup[];
    readonly leases: readonly LeaseAssignment[];
    readonly rateShares: readonly RateShare[];
    /** At most one. */
    readonly documentHeads: readonly DocumentHead[];
    readonly documentEntries: readonly DocumentEntry[];
    readonly promotions: readonly PromotionRecord[];
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
};
