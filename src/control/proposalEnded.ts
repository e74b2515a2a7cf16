/** Results of proposals. */
import { ControlKind, type ControlProposalEnded, type ProposalStatus } from "../model/controlMessages.ts";

/** Builds a result with defaults for the optional parts. */
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
