/** Explains whether the rate of a workspace would admit an operation now. */
import {
    endExplanation,
    type ExplanationAsked,
    type ExplanationEnded,
    type Finding,
    roundMs,
    Verdict,
    withFindings,
} from "../model/explanation.ts";

/** What an instance has for one workspace. */
export interface RateState {
    readonly ratePerSecond: number;
    readonly permits: number;
    /** Operations that the fallback rate allows; undefined while a leader grants permits. */
    readonly fallbackTokens: number | undefined;
    /** Number of operations that wait. */
    readonly waiting: number;
    /** Number of those that go first. */
    readonly ahead: number;
    readonly isFull: boolean;
    /** Time for which the operation may wait for a permit. */
    readonly waitLimitMs: number;
    /** Time until the leader may grant a permit. */
    readonly nextGrantMs: number;
    /** Earliest time that a refused caller is told. */
    readonly retryAfterMs: number;
}

export function explainRate(asked: ExplanationAsked, state: RateState): ExplanationAsked | ExplanationEnded {
    const { permits, fallbackTokens, ahead, waiting, isFull, waitLimitMs, nextGrantMs, retryAfterMs } = state;
    const facts = {
        rate_per_second: state.ratePerSecond,
        permits,
        ...fallbackTokens === undefined ? {} : { fallback_tokens: fallbackTokens },
        waiting,
    };
    if (permits + (fallbackTokens ?? 0) > ahead) {
        return withFindings(asked, [finding(asked, Verdict.Passes, "a permit is left", facts)]);
    }
    if (isFull || nextGrantMs >= waitLimitMs) {
        const reason = isFull
            ? "too many operations of the workspace wait here"
            : "the rate of the workspace is used up";
        const refused = { ...facts, retry_after_ms: roundMs(Math.max(1, retryAfterMs)) };
        return endExplanation(asked, [finding(asked, Verdict.Refused, reason, refused)]);
    }
    const reason = fallbackTokens === undefined
        ? "no permit is left; the control leader is asked for one"
        : "no permit is left, and the control leader does not answer";
    return withFindings(asked, [
        finding(asked, Verdict.Waits, reason, { ...facts, wait_limit_ms: roundMs(waitLimitMs) }),
    ]);
}

export function explainUnlimited(asked: ExplanationAsked): ExplanationAsked {
    return withFindings(asked, [
        finding(asked, Verdict.Passes, "callers without a workspace have no rate", {}),
    ]);
}

function finding(
    { request: { workspace } }: ExplanationAsked,
    verdict: Finding["verdict"],
    reason: string,
    facts: Finding["facts"],
): Finding {
    return { step: "admission", subject: workspace === "" ? "(none)" : workspace, verdict, reason, facts };
}
