/** Filters of the control pipe, which runs on each control member. */
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
    /** The incarnation is read from the identity file of the data folder. */
    readonly self: Member;
    /** The same list on all control members; the first member of the list forms a new cluster. */
    readonly initialMembers: readonly InitialMember[];
    readonly random: SeededRandom;
    /** Entries between two snapshots. */
    readonly snapshotEntries?: number;
    /** Whether this instance may form a new cluster; by default true. */
    readonly canFormCluster?: boolean;
    /** Members join and leave without an operator, and other pipes get the list of members; by default false. */
    readonly automaticMembership?: boolean;
    /** Disks that may be lost at the same time without the loss of an acknowledged change; by default 0. */
    readonly faultTolerance?: number;
}

/** Builds the filters, in order. The first event of the pipe must be `storage.recovered`. */
// The element type is `any` for the same reason as in Pipe: each filter accepts only its own kinds of messages.
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
