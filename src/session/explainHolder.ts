/** Explains which instance would run a statement on the links that it has to the chosen database. */
import {
    endExplanation,
    type ExplanationAsked,
    type ExplanationEnded,
    type Facts,
    type Finding,
    Verdict,
    withFindings,
} from "../model/explanation.ts";
import { type HolderCandidate, type HolderChoice, SkipReason } from "./holderChoice.ts";
import type { HomeRule } from "./homeRule.ts";

const step = "forwarding";

const skipTexts: Readonly<Record<SkipReason, string>> = {
    [SkipReason.Disconnected]: "its connection has ended",
    [SkipReason.Silent]: "it does not answer in time",
    [SkipReason.CannotReach]: "it could not reach the database",
};

/** Ends the question if another instance is the holder: only that one knows what its links would do. */
export function explainHolder(
    asked: ExplanationAsked,
    { holders, homes, instanceId }: {
        readonly holders: HolderChoice;
        readonly homes: HomeRule;
        readonly instanceId: string;
    },
    nowMs: number,
): ExplanationAsked | ExplanationEnded {
    const { databaseId, load } = asked.placement!;
    const dataCentre = holders.dataCentreOf(databaseId);
    if (dataCentre !== undefined && !homes.isAtHome(dataCentre, asked.homeRegions)) {
        const reason = "the instances near the database are outside of the home regions, so this one uses it itself";
        return withFindings(asked, [chosenInstance(instanceId, reason, { database: databaseId })]);
    }
    const candidates = holders.candidates(databaseId, nowMs);
    const { address, isHolder } = holders.choose(databaseId, nowMs);
    const chosen = candidates.findIndex(({ instance, isThisInstance }) =>
        address === undefined ? isThisInstance : instance.address === address
    );
    const facts = { database: databaseId, data_centre: dataCentre ?? "(unknown)", instances: candidates.length };
    if (chosen === -1) {
        const reason = "no instance of the data centre can be the holder, so this one uses the database itself";
        return withFindings(asked, [chosenInstance(instanceId, reason, facts)]);
    }
    const passedOver = candidates.slice(0, chosen).flatMap((candidate, index) => skipped(candidate, index));
    const { instance, skipReason } = candidates[chosen]!;
    const reason = skipReason === undefined
        ? isHolder || address !== undefined
            ? "holder: the first instance by rank that is not skipped"
            : "uses the database for a holder that is skipped and still runs"
        : "the first instance that runs, because too many are skipped";
    const chosenFacts = { rank: chosen + 1, ...facts };
    return address === undefined
        ? withFindings(asked, [...passedOver, chosenInstance(instance.instanceId, reason, chosenFacts)])
        : endExplanation(asked, [
            ...passedOver,
            chosenInstance(instance.instanceId, `${reason}; ask it for more`, { ...chosenFacts, address, ...load }),
        ]);
}

function skipped({ instance: { instanceId }, skipReason }: HolderCandidate, index: number): readonly Finding[] {
    return skipReason === undefined ? [] : [
        {
            step,
            subject: instanceId,
            verdict: Verdict.PassedOver,
            reason: skipTexts[skipReason],
            facts: { rank: index + 1 },
        },
    ];
}

function chosenInstance(instanceId: string, reason: string, facts: Facts): Finding {
    return { step, subject: instanceId, verdict: Verdict.Chosen, reason, facts };
}
