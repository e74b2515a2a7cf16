/** Logs the next term with its primary; only one such proposal can be accepted per term. */
import {
    CommandKind,
    ControlKind,
    type ControlProposalEnded,
    type ControlPropose,
    ProposalStatus,
} from "../model/controlMessages.ts";
import { type AllowLease, HealthKind } from "../model/healthMessages.ts";
import type { Message } from "../pipeline/message.ts";
import { type Decision, type Phase, PhaseName, stay } from "./changePhase.ts";
import type { GroupFacts } from "./groupFacts.ts";

export class ProposingPhase implements Phase {
    readonly name = PhaseName.Proposing;
    private readonly facts: GroupFacts;
    private readonly proposalId: string;
    private readonly targetId: string;
    private readonly replacedId: string;
    private readonly replacedTerm: number;
    private status: ProposalStatus | undefined;

    /** @param proposalId by which the answer is recognized */
    constructor(facts: GroupFacts, proposalId: string, targetId: string) {
        this.facts = facts;
        this.proposalId = proposalId;
        this.targetId = targetId;
        this.replacedId = facts.group.primaryId;
        this.replacedTerm = facts.group.term;
    }

    enter(): readonly Message[] {
        const group = { ...this.facts.group, term: this.replacedTerm + 1, primaryId: this.targetId };
        const propose: ControlPropose = {
            kind: ControlKind.Propose,
            proposalId: this.proposalId,
            // The expected term already admits one change per term, so no result need be remembered.
            operationId: "",
            command: { kind: CommandKind.SetGroup, expectedTerm: this.replacedTerm, group },
        };
        return [propose];
    }

    proposalEnded(ended: ControlProposalEnded): void {
        if (ended.proposalId === this.proposalId) {
            this.status = ended.status;
        }
    }

    decide(): Decision {
        const applied = this.status === ProposalStatus.Applied;
        // The configuration follows an applied proposal; until then the group still shows the old primary.
        if (applied && this.facts.group.term > this.replacedTerm) {
            return { messages: [], transition: { to: PhaseName.Promoting, replacedId: this.replacedId } };
        }
        if (this.status === undefined || applied) {
            return stay;
        }
        const allow: AllowLease = { kind: HealthKind.AllowLease, databaseId: this.replacedId };
        return { messages: [allow], transition: { to: PhaseName.Steady } };
    }
}
