/** Questions where a statement would go, and what their answers say. */
import {
    type ExplanationAsked,
    type ExplanationEnded,
    ExplanationKind,
    type Finding,
    Verdict,
} from "../../model/explanation.ts";

let nextNumber = 0;

export function askedFor(
    request: ExplanationAsked["request"],
    parts: Partial<ExplanationAsked> = {},
): ExplanationAsked {
    return {
        kind: ExplanationKind.Asked,
        requestId: `question${nextNumber++}`,
        request,
        route: undefined,
        placement: undefined,
        findings: [],
        ...parts,
    };
}

/** Returns what a step has found. */
export function findingsOf({ findings }: Pick<ExplanationEnded, "findings">, step: string): readonly Finding[] {
    return findings.filter(finding => finding.step === step);
}

/** Returns what a step has chosen; undefined if nothing. */
export function chosenBy(ended: Pick<ExplanationEnded, "findings">, step: string): string | undefined {
    return findingsOf(ended, step).find(({ verdict }) => verdict === Verdict.Chosen)?.subject;
}
