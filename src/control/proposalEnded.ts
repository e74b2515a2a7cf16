import { ControlKind, type ControlProposalEnded, type ProposalStatus } from "../model/controlMessages.ts";

/** Builds the result of a proposal, with defaults for the fields that `parts` omits. */
export function proposalEnded(
    proposalId: string,
    status: ProposalStatus,
    parts: Partial<ControlProposalEnded> = {},
): ControlProposalEnded {
    return {
        version: 0,
        configurationVersion: 0,
        detail: "",
        leaderAddress: undefined,
        ...parts,
        kind: ControlKind.ProposalEnded,
        proposalId,
        status,
    };
}
