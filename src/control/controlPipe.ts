/** The order of the filters of a control member. */
import type { Member } from "../model/replicatedLog.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { SeededRandom } from "../pipeline/seededRandom.ts";
import { ApplyFilter, snapshotEntries } from "./applyFilter.ts";
import { FormationFilter, type InitialMember } from "./formationFilter.ts";
import { LeaderViewFilter } from "./leaderViewFilter.ts";
import { MembershipFilter } from "./membershipFilter.ts";
import { PromiseFilter } from "./promiseFilter.ts";
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
}

/** The filters for one `Pipe`. Post `storage.recovered` as its first event. */
// The element type is erased for the same reason as in Pipe: each filter narrows Message to its own kinds.
// eslint-disable-next-line @typescript-eslint/no-explicit-any
export function controlFilters(options: ControlFiltersOptions): readonly Filter<any, any>[] {
    const { self, initialMembers, random } = options;
    return [
        new FormationFilter({ self, initialMembers }),
        new TermFilter(self),
        new ReplicationFilter(self),
        new SnapshotFilter(self),
        new MembershipFilter({ settledIds: initialMembers.map(member => member.memberId) }),
        new VoteFilter({ self, random }),
        new ApplyFilter({ snapshotEntries: options.snapshotEntries ?? snapshotEntries }),
        new ProposalFilter(),
        new LeaderViewFilter(self),
        new PublicationFilter(),
        new PromiseFilter(self),
    ];
}
