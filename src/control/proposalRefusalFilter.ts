/** The answer to proposals on an instance that is no control member. */
import {
    ControlKind,
    type ControlProposalEnded,
    type ControlPropose,
    ProposalStatus,
} from "../model/controlMessages.ts";
import type { Filter } from "../pipeline/filter.ts";

export class ProposalRefusalFilter implements Filter<ControlPropose, ControlProposalEnded> {
    readonly step = "refuse_proposals";
    readonly accepts = [ControlKind.Propose];

    process({ proposalId }: ControlPropose): readonly ControlProposalEnded[] {
        return [{
            kind: ControlKind.ProposalEnded,
            proposalId,
            status: ProposalStatus.NotLeader,
            version: 0,
            configurationVersion: 0,
            detail: "this instance keeps no control state; ask the leader",
            leaderAddress: undefined,
        }];
    }
}
