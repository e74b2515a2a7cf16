/** Last step of the request pipe: sends one answer for each statement. */
import { match } from "ts-pattern";
import { type CallerAnswer, type CallerDisconnect, CallerKind } from "../model/callerMessages.ts";
import { ClusterKind, type DrainStarted } from "../model/clusterMessages.ts";
import { OutcomeKind } from "../model/outcome.ts";
import { RefusalCode, refuse } from "../model/refusal.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { type AnsweredRequest, type RefusedRequest, RequestKind } from "./requestMessages.ts";

type Input = AnsweredRequest | RefusedRequest | DrainStarted;

/**
 * Converts outcomes and refusals to answers. While the instance drains, it also closes a connection after an answer
 * that leaves no transaction open.
 */
export class AnswerFilter implements Filter<Input, Message> {
    readonly step = "answer";
    readonly accepts = [RequestKind.Answered, RequestKind.Refused, ClusterKind.DrainStarted];
    private draining = false;

    process(message: Input): readonly Message[] {
        return match(message)
            .with({ kind: RequestKind.Answered }, answered => {
                const { connectionId, sequence, outcome, inTransaction } = answered;
                return this.answer({ kind: CallerKind.Answer, connectionId, sequence, outcome, inTransaction });
            })
            .with({ kind: RequestKind.Refused }, refused => {
                const { connectionId, sequence, refusal } = refused;
                const outcome = { kind: OutcomeKind.Refused, refusal } as const;
                const inTransaction = refused.request?.inTransaction ?? false;
                return this.answer({ kind: CallerKind.Answer, connectionId, sequence, outcome, inTransaction });
            })
            .with({ kind: ClusterKind.DrainStarted }, drain => {
                this.draining = true;
                return [drain];
            })
            .exhaustive();
    }

    private answer(answer: CallerAnswer): readonly Message[] {
        if (!this.draining || answer.inTransaction) {
            return [answer];
        }
        const disconnect: CallerDisconnect = {
            kind: CallerKind.Disconnect,
            connectionId: answer.connectionId,
            refusal: refuse(RefusalCode.ShuttingDown, this.step),
        };
        return [answer, disconnect];
    }
}
