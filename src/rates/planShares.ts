/** Plans one step from the current shares of a workspace towards its target shares. */
import type { RateShare } from "../model/configuration.ts";
import type { Workspace } from "../model/workspace.ts";
import { type Share, zeroShare } from "./shareTable.ts";
import { componentwiseMaximum, type ShareTracker } from "./shareTracker.ts";
import { apportionUnits, targetShares } from "./targetShares.ts";

/** Demand above this fraction of its share makes a data centre undersupplied; the refill hardly reaches the share. */
const undersuppliedFraction = 0.9;

/** Demand above a small share that is due to random arrivals; following it would change the configuration in vain. */
const demandNoisePerSecond = 1;

/** Minimum unallocated fraction of the workspace's rate whose allocation is worth a log entry. */
const minimumUnallocatedFraction = 0.02;

/** Minimum fraction worth moving; smaller moves would follow the noise of demand with a log entry every second. */
const minimumMoveFraction = 0.1;

/**
 * The same while every data centre is undersupplied: a move then admits no more statements in total, and the moved part
 * is unused until its reduction is confirmed.
 */
const minimumMoveFractionIfAllUndersupplied = 0.25;

interface ShareTarget {
    readonly dataCentre: string;
    readonly current: Share;
    readonly maximum: Share;
    readonly target: Share;
}

/**
 * Next shares of a workspace, or undefined if nothing is to change. The plan contains all reductions in full;
 * increases use only what no data centre may still be using.
 * @param reportedSinceMs data centres whose last report is older keep their shares
 */
export function planShares(
    workspace: Workspace,
    tracker: ShareTracker,
    reportedSinceMs: number,
): readonly RateShare[] | undefined {
    const shareTargets = chooseTargets(workspace, tracker, reportedSinceMs);
    const availableIncrease = computeAvailableIncrease(workspace, tracker, shareTargets);
    const wantedIncreases = shareTargets.map(shareTarget => ({
        ratePerSecond: Math.max(0, shareTarget.target.ratePerSecond - shareTarget.maximum.ratePerSecond),
        burst: Math.max(0, shareTarget.target.burst - shareTarget.maximum.burst),
    }));
    const increases = limitIncreases(availableIncrease, wantedIncreases);
    const planned = shareTargets.map((shareTarget, index) => ({
        workspace: workspace.name,
        dataCentre: shareTarget.dataCentre,
        ratePerSecond: Math.min(
            shareTarget.target.ratePerSecond,
            shareTarget.maximum.ratePerSecond + increases[index]!.ratePerSecond,
        ),
        burst: Math.min(shareTarget.target.burst, shareTarget.maximum.burst + increases[index]!.burst),
    }));
    const unallocated = subtract(workspace, sumShares(shareTargets.map(({ current }) => current)));
    const threshold = isWorthAllocating(workspace, unallocated) ? minimumUnallocatedFraction : minimumMoveFraction;
    const isWorthwhile = shareTargets.some((shareTarget, index) =>
        differsByMoreThan(workspace, shareTarget.current, planned[index]!, threshold)
    );
    return isWorthwhile ? planned : undefined;
}

function chooseTargets(workspace: Workspace, tracker: ShareTracker, reportedSinceMs: number): readonly ShareTarget[] {
    const dataCentreShares = tracker.dataCentres.map(dataCentre => ({
        dataCentre,
        current: tracker.currentShare(dataCentre),
        maximum: tracker.maximumShare(dataCentre),
    }));
    const isFirstDivision = tracker.isUndivided;
    const adjustable = dataCentreShares.filter(({ dataCentre }) =>
        isFirstDivision || tracker.hasReportedSince(dataCentre, reportedSinceMs)
    );
    const unchanged = dataCentreShares.filter(entry => !adjustable.includes(entry));
    const total = subtract(workspace, sumShares(unchanged.map(({ maximum }) => maximum)));
    const targets = targetShares(total, adjustable.map(({ dataCentre }) => tracker.wantedPerSecond(dataCentre)));
    const requiresDivision = isFirstDivision
        || exceedsLimits(workspace, dataCentreShares.map(({ current }) => current));
    const undersupplied = dataCentreShares.map(({ dataCentre, current }) =>
        isUndersupplied(tracker.wantedPerSecond(dataCentre), current)
    );
    const isUneven = adjustable.some(({ current }, index) =>
        Math.abs(targets[index]!.ratePerSecond - current.ratePerSecond)
            > minimumMoveFractionIfAllUndersupplied * workspace.ratePerSecond
    );
    const allowsReductions = requiresDivision
        || undersupplied.includes(true) && (undersupplied.includes(false) || isUneven);
    return dataCentreShares.map(entry => {
        const target = targets[adjustable.indexOf(entry)];
        if (target === undefined) {
            return { ...entry, target: entry.current };
        }
        // The unallocated part goes to the data centres that would use it. Reductions at the same time would follow the
        // noise of small demands, and each would leave another unallocated part.
        return { ...entry, target: allowsReductions ? target : componentwiseMaximum(entry.current, target) };
    });
}

/** Whether a data centre could use more than its share. */
export function isUndersupplied(wantedPerSecond: number, share: Share): boolean {
    return wantedPerSecond > undersuppliedFraction * share.ratePerSecond + demandNoisePerSecond;
}

/** Whether the shares exceed a rate or burst that was lowered. */
function exceedsLimits(workspace: Workspace, shares: readonly Share[]): boolean {
    const sum = sumShares(shares);
    return sum.ratePerSecond > (1 + minimumUnallocatedFraction) * workspace.ratePerSecond
        || sum.burst > workspace.burst;
}

function isWorthAllocating(workspace: Workspace, share: Share): boolean {
    return share.ratePerSecond > minimumUnallocatedFraction * workspace.ratePerSecond || share.burst >= 1;
}

function computeAvailableIncrease(
    workspace: Workspace,
    tracker: ShareTracker,
    shareTargets: readonly ShareTarget[],
): Share {
    const current = sumShares(shareTargets.map(shareTarget => shareTarget.current));
    // Homes may still use more than the current shares if an earlier leader reduced these.
    const mayHaveUnknownReductions = !tracker.allConfirmed && current.ratePerSecond > 0;
    const limit = mayHaveUnknownReductions
        ? {
            ratePerSecond: Math.min(current.ratePerSecond, workspace.ratePerSecond),
            burst: Math.min(current.burst, workspace.burst),
        }
        : workspace;
    return subtract(limit, sumShares(shareTargets.map(shareTarget => shareTarget.maximum)));
}

/** Scales the increases down to the available one, all rates by the same factor and bursts in whole units. */
function limitIncreases(availableIncrease: Share, wantedIncreases: readonly Share[]): readonly Share[] {
    const wanted = sumShares(wantedIncreases);
    const rateFraction = wanted.ratePerSecond > 0
        ? Math.min(1, availableIncrease.ratePerSecond / wanted.ratePerSecond)
        : 0;
    const units = Math.min(availableIncrease.burst, wanted.burst);
    const bursts = apportionUnits(
        units,
        wantedIncreases.map(({ burst }) => wanted.burst > 0 ? burst / wanted.burst : 0),
    );
    return wantedIncreases.map(({ ratePerSecond, burst }, index) => ({
        ratePerSecond: ratePerSecond * rateFraction,
        burst: Math.min(burst, bursts[index]!),
    }));
}

function differsByMoreThan(workspace: Workspace, current: Share, planned: Share, fraction: number): boolean {
    return Math.abs(planned.ratePerSecond - current.ratePerSecond) > fraction * workspace.ratePerSecond
        || Math.abs(planned.burst - current.burst) >= Math.max(1, fraction * workspace.burst);
}

function sumShares(shares: readonly Share[]): Share {
    return shares.reduce((sum, share) => ({
        ratePerSecond: sum.ratePerSecond + share.ratePerSecond,
        burst: sum.burst + share.burst,
    }), zeroShare);
}

function subtract(left: Share, right: Share): Share {
    return {
        ratePerSecond: Math.max(0, left.ratePerSecond - right.ratePerSecond),
        burst: Math.max(0, left.burst - right.burst),
    };
}
