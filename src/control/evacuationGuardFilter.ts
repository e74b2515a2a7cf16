/** Refuses to begin an evacuation while a control member of a release that does not know evacuations is in contact. */
import { CommandKind, ControlKind, type ControlPropose, ProposalStatus } from "../model/controlMessages.ts";
import { type AppendAnswer, LogKind } from "../model/logMessages.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { proposalEnded } from "./proposalEnded.ts";

/** Time after its last answer from which a member counts as out of contact; members answer the leader every 250 ms. */
const contactMs = 3_000;

/**
 * Such a member would apply the command as invalid, and publish a configuration without the evacuation under the same
 * version. Precedes the filter that proposes. Only the leader gets answers, and other members refuse proposals themselves.
 */
export class EvacuationGuardFilter implements Filter<ControlPropose | AppendAnswer, Message> {
    readonly step = "evacuation_guard";
    readonly accepts = [ControlKind.Propose, LogKind.AppendAnswer];
    /** Times of the last answers of members of earlier releases, by member id. */
    private readonly earlierMembers = new Map<string, number>();

    process(message: ControlPropose | AppendAnswer, nowMs: number): readonly Message[] {
        if (message.kind === LogKind.AppendAnswer) {
            this.recordAnswer(message, nowMs);
            return [message];
        }
        const earlier = [...this.earlierMembers].filter(([, answeredAtMs]) => nowMs - answeredAtMs < contactMs);
        if (message.command.kind !== CommandKind.BeginEvacuation || earlier.length === 0) {
            return [message];
        }
        const detail = `these control members must be updated first: ${earlier.map(([id]) => id).join(", ")}`;
        return [proposalEnded(message.proposalId, ProposalStatus.Invalid, { detail })];
    }

    private recordAnswer({ from, knowsEvacuations }: AppendAnswer, nowMs: number): void {
        if (knowsEvacuations) {
            this.earlierMembers.delete(from.memberId);
        }
        else {
            this.earlierMembers.set(from.memberId, nowMs);
        }
    }
}
