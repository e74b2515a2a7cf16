/** Proposes the next term with its primary to the control state, which accepts one such proposal per term at most. */
import {
    CommandKind,
    ControlKind,
    type ControlProposalEnded,
    type ControlPropose,
    ProposalStatus,
} from "../model/controlMessages.ts";
import { type AllowLease, HealthKind } from "../model/healthMessages.ts";
import type { Message } from "../pipeline/message.ts";
import type { GroupView } from "./groupView.ts";
import { type Decision, type Phase, PhaseName, stayInPhase } from "./primaryChangePhase.ts";

export class ProposingPhase implements Phase {
    readonly name = PhaseName.Proposing;
    private readonly groupView: GroupView;
    private readonly proposalId: string;
    private readonly newPrimaryId: string;
    private readonly formerPrimaryId: string;
    private readonly formerTerm: number;
    private status: ProposalStatus | undefined;

    constructor(groupView: GroupView, proposalId: string, newPrimaryId: string) {
        this.groupView = groupView;
        this.proposalId = proposalId;
        this.newPrimaryId = newPrimaryId;
        this.formerPrimaryId = groupView.group.primaryId;
        this.formerTerm = groupView.group.term;
    }

    enter(): readonly Message[] {
        const group = { ...this.groupView.group, term: this.formerTerm + 1, primaryId: this.newPrimaryId };
        const propose: ControlPropose = {
            kind: ControlKind.Propose,
            proposalId: this.proposalId,
            // No deduplication by id is needed: `expectedTerm` already prevents a second application.
            operationId: "",
            command: { kind: CommandKind.SetGroup, expectedTerm: this.formerTerm, group },
        };
        return [propose];
    }

    onProposalEnded(ended: ControlProposalEnded): void {
        if (ended.proposalId === this.proposalId) {
            this.status = ended.status;
        }
    }

    decide(): Decision {
        const applied = this.status === ProposalStatus.Applied;
        // The result arrives before the new configuration; until then the group still has the old primary.
        if (applied && this.groupView.group.term > this.formerTerm) {
            return { messages: [], transition: { to: PhaseName.Promoting, formerPrimaryId: this.formerPrimaryId } };
        }
        if (this.status === undefined || applied) {
            return stayInPhase;
        }
        const allow: AllowLease = { kind: HealthKind.AllowLease, databaseId: this.formerPrimaryId };
        return { messages: [allow], transition: { to: PhaseName.Steady } };
    }
}
