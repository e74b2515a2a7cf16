/**
 * Explanations of where a statement would go now. A question passes through the same filters as the statement would, and
 * each adds what it would decide; nothing is sent, and no state changes.
 */
import type { Message } from "../pipeline/message.ts";
import type { Position } from "./position.ts";
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

/** Figures by name; those with a unit carry it as a suffix. */
export type Facts = Readonly<Record<string, string | number>>;

/** What one step would decide about one subject. */
export interface Finding {
    /** Step of the filter. */
    readonly step: string;
    /** Name of the route, the workspace, the database or the instance. */
    readonly subject: string;
    readonly verdict: Verdict;
    readonly reason: string;
    /** What the decision rests on. */
    readonly facts: Facts;
}

export interface ExplanationRequest {
    /** The name that callers connect to. */
    readonly database: string;
    /** Empty for callers of open routes without a key. */
    readonly workspace: string;
    readonly writes: boolean;
}

/** The database that would get the statement. */
export interface ExplainedPlacement {
    readonly databaseId: string;
    /** Log position that the database must have reached; undefined at the primary, and while none is known. */
    readonly floor: Position | undefined;
    /** Time that an attempt may take. */
    readonly attemptLimitMs: number;
    /** What this instance knows of the load of the database. */
    readonly load: Facts;
}

export interface ExplanationAsked extends Message {
    readonly kind: typeof ExplanationKind.Asked;
    /** Unique in this process. */
    readonly requestId: string;
    readonly request: ExplanationRequest;
    /** Undefined until the route is resolved. */
    readonly route: RoutePolicy | undefined;
    /** Regions whose databases may run the statement; undefined if all may. */
    readonly homeRegions?: readonly string[];
    /** Undefined until a database is chosen. */
    readonly placement: ExplainedPlacement | undefined;
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
    changes: Partial<Pick<ExplanationAsked, "route" | "homeRegions" | "placement">> = {},
): ExplanationAsked {
    return { ...asked, ...changes, findings: [...asked.findings, ...findings] };
}

/** Ends a question: the statement would not get beyond this step. */
export function endExplanation(asked: ExplanationAsked, findings: readonly Finding[]): ExplanationEnded {
    const { requestId } = asked;
    return { kind: ExplanationKind.Ended, requestId, findings: [...asked.findings, ...findings] };
}

/** Rounds a time for people. */
export function roundMs(timeMs: number): number {
    return Math.round(10 * timeMs) / 10;
}
