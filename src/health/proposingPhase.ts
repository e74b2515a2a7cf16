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
import type { GroupView } from "./groupView.ts";
import { type Decision, type Phase, PhaseName, stayInPhase } from "./primaryChangePhase.ts";

export class ProposingPhase implements Phase {
    readonly name = PhaseName.Proposing;
    private readonly groupView: GroupView;
    private readonly proposalId: string;
    private readonly targetId: string;
    private readonly replacedId: string;
    private readonly replacedTerm: number;
    private status: ProposalStatus | undefined;

    constructor(groupView: GroupView, proposalId: string, targetId: string) {
        this.groupView = groupView;
        this.proposalId = proposalId;
        this.targetId = targetId;
        this.replacedId = groupView.group.primaryId;
        this.replacedTerm = groupView.group.term;
    }

    enter(): readonly Message[] {
        const group = { ...this.groupView.group, term: this.replacedTerm + 1, primaryId: this.targetId };
        const propose: ControlPropose = {
            kind: ControlKind.Propose,
            proposalId: this.proposalId,
            // The expected term already keeps a second application from changing anything.
            operationId: "",
            command: { kind: CommandKind.SetGroup, expectedTerm: this.replacedTerm, group },
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
        // The configuration follows an applied proposal; until then the group still shows the old primary.
        if (applied && this.groupView.group.term > this.replacedTerm) {
            return { messages: [], transition: { to: PhaseName.Promoting, replacedId: this.replacedId } };
        }
        if (this.status === undefined || applied) {
            return stayInPhase;
        }
        const allow: AllowLease = { kind: HealthKind.AllowLease, databaseId: this.replacedId };
        return { messages: [allow], transition: { to: PhaseName.Steady } };
    }
}
