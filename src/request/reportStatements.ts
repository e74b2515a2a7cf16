/** Reports how each classified statement ended to the burn report, which tracks the use of the error budgets. */
import { match } from "ts-pattern";
import { OutcomeKind } from "../model/outcome.ts";
import { RefusalCode } from "../model/refusal.ts";
import { ReportKind, type StatementEnded } from "../model/reportMessages.ts";
import { StatementKind } from "../model/statement.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { type AnsweredRequest, type RefusedRequest, RequestKind } from "./requestMessages.ts";

type Input = AnsweredRequest | RefusedRequest;

/** Runs before the answer filter; passes all messages on. */
export class ReportStatementsFilter implements Filter<Input, Message> {
    readonly step = "report_statements";
    readonly accepts = [RequestKind.Answered, RequestKind.Refused];

    process(message: Input): readonly Message[] {
        return [message, ...this.report(message)];
    }

    private report(message: Input): readonly StatementEnded[] {
        const { request } = message;
        if (request === undefined || request.statementKind === StatementKind.Local) {
            return [];
        }
        const { workspace, workClass, arrivedAtMs, targets } = request;
        const body = { workspace, workClass, arrivedAtMs, targets };
        return match(message)
            .with({ kind: RequestKind.Answered }, ({ outcome, startedAtMs }) => [
                { kind: ReportKind.StatementEnded, ...body, outcome, startedAtMs, withinRate: true },
            ])
            .with({ kind: RequestKind.Refused }, ({ refusal }) => [
                {
                    kind: ReportKind.StatementEnded,
                    ...body,
                    outcome: { kind: OutcomeKind.Refused, refusal },
                    startedAtMs: undefined,
                    // The admit filter uses this code only for statements that exceed the rate.
                    withinRate: refusal.code !== RefusalCode.RateExceeded,
                },
            ])
            .exhaustive();
    }
}
