/** The order of the filters of a control member. */
import type { Member } from "../model/replicatedLog.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { SeededRandom } from "../pipeline/seededRandom.ts";
import { ApplyFilter, defaultSnapshotEntries } from "./applyFilter.ts";
import { DurabilityFilter } from "./durabilityFilter.ts";
import { FormationFilter, type InitialMember } from "./formationFilter.ts";
import { LeaderViewFilter } from "./leaderViewFilter.ts";
import { MembershipFilter } from "./membershipFilter.ts";
import { ProposalFilter } from "./proposalFilter.ts";
import { PublicationFilter } from "./publicationFilter.ts";
import { ReplicationFilter } from "./replicationFilter.ts";
import { SnapshotFilter } from "./snapshotFilter.ts";
import { TermFilter } from "./termFilter.ts";
import { VoteFilter } from "./voteFilter.ts";

export interface ControlFiltersOptions {
    /** Its incarnation comes from the identity file of the data folder. */
    readonly self: Member;
    /** Equal on all control members; the first one founds a new cluster. */
    readonly initialMembers: readonly InitialMember[];
    readonly random: SeededRandom;
    /** Entries between two snapshots. */
    readonly snapshotEntries?: number;
    /** Whether this instance may found a new cluster; true unless set. */
    readonly canFormCluster?: boolean;
    /** Members come and go without an operator's order, and other pipes are told which ones there are. */
    readonly automaticMembership?: boolean;
    /** Disks that may be lost at one moment while nothing acknowledged is; a majority decides unless set. */
    readonly faultTolerance?: number;
}

/** The filters for one `Pipe`. Post `storage.recovered` as its first event. */
// The element type is erased for the same reason as in Pipe: each filter narrows Message to its own kinds.
// eslint-disable-next-line @typescript-eslint/no-explicit-any
export function controlFilters(options: ControlFiltersOptions): readonly Filter<any, any>[] {
    const {
        self,
        initialMembers,
        random,
        canFormCluster = true,
        automaticMembership = false,
        faultTolerance = 0,
    } = options;
    return [
        new FormationFilter({
            self,
            initialMembers,
            canFormCluster,
            automaticMembership,
            faultTolerance,
        }),
        new TermFilter(self),
        new ReplicationFilter(self, faultTolerance),
        new SnapshotFilter(self),
        new MembershipFilter({
            configuredMemberIds: initialMembers.map(member => member.memberId),
            replacesSilentMembers: automaticMembership,
            faultTolerance,
        }),
        new VoteFilter({ self, random }),
        new ApplyFilter({ snapshotEntries: options.snapshotEntries ?? defaultSnapshotEntries }),
        new ProposalFilter(),
        new LeaderViewFilter(self),
        new PublicationFilter(),
        new DurabilityFilter(self),
    ];
}
