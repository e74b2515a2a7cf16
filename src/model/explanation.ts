/**
 * Explanations of where a statement would go now. A question passes through the same filters as the statement would, and
 * each adds what it would decide; nothing is sent, and no state changes.
 */
import type { Message } from "../pipeline/message.ts";
import type { RoutePolicy } from "./trafficPolicy.ts";

export const ExplanationKind = {
    Asked: "explanation.asked",
    Ended: "explanation.ended",
} as const;

export const Verdict = {
    /** The statement would pass this step. */
    Passes: "passes",
    /** It would wait here. */
    Waits: "waits",
    /** It would be refused here, as not run. */
    Refused: "refused",
    /** The database or the instance would be chosen. */
    Chosen: "chosen",
    /** Another one would be chosen. */
    PassedOver: "passed_over",
} as const;
export type Verdict = typeof Verdict[keyof typeof Verdict];

/** What one step would decide about one subject. */
export interface Finding {
    /** Step of the filter. */
    readonly step: string;
    /** Name of the route, the workspace, the database or the instance. */
    readonly subject: string;
    readonly verdict: Verdict;
    readonly reason: string;
    /** Figures that the decision rests on, by name with unit. */
    readonly facts: Readonly<Record<string, string | number>>;
}

export interface ExplanationRequest {
    /** The name that callers connect to. */
    readonly database: string;
    /** Empty for callers of open routes without a key. */
    readonly workspace: string;
    readonly writes: boolean;
}

export interface ExplanationAsked extends Message {
    readonly kind: typeof ExplanationKind.Asked;
    /** Unique in this process. */
    readonly requestId: string;
    readonly request: ExplanationRequest;
    /** Undefined until the route is resolved. */
    readonly route: RoutePolicy | undefined;
    /** Undefined until a database is chosen. */
    readonly databaseId: string | undefined;
    readonly findings: readonly Finding[];
}

export interface ExplanationEnded extends Message {
    readonly kind: typeof ExplanationKind.Ended;
    readonly requestId: string;
    readonly findings: readonly Finding[];
}

/** Passes a question on with further findings. */
export function withFindings(
    asked: ExplanationAsked,
    findings: readonly Finding[],
    changes: Partial<Pick<ExplanationAsked, "route" | "databaseId">> = {},
): ExplanationAsked {
    return { ...asked, ...changes, findings: [...asked.findings, ...findings] };
}

/** Ends a question: the statement would not get beyond this step. */
export function endExplanation(asked: ExplanationAsked, findings: readonly Finding[]): ExplanationEnded {
    const { requestId } = asked;
    return { kind: ExplanationKind.Ended, requestId, findings: [...asked.findings, ...findings] };
}
