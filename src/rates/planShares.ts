/** One step from the present shares of a workspace towards its target shares. */
import type { RateShare } from "../model/configuration.ts";
import type { Workspace } from "../model/workspace.ts";
import { type Share, zeroShare } from "./shareTable.ts";
import { componentwiseMaximum, type ShareTracker } from "./shareTracker.ts";
import { apportionUnits, targetShares } from "./targetShares.ts";

/** A data centre is short when its demand is above this part of its share, which its home's refill hardly reaches. */
const shortPart = 0.9;

/** Demand per second that chance alone adds to a small share; following it would change the configuration for nothing. */
const chanceSlackPerSecond = 1;

/** Smallest part of the workspace's rate that is worth a log entry when it is given out. */
const smallestRestPart = 0.02;

/** Smallest part worth moving; a smaller one would follow the noise of the demand with an entry every second. */
const smallestMovePart = 0.1;

/** The same while every data centre is short: a move then serves nobody more, and the moved part rests meanwhile. */
const smallestMovePartWhenAllShort = 0.25;

interface Move {
    readonly dataCentre: string;
    readonly current: Share;
    readonly ceiling: Share;
    readonly target: Share;
}

/**
 * Next shares of a workspace, or undefined when nothing is to change. Reductions take effect in the plan at once;
 * a growth takes only what no data centre may still spend.
 * @param reportedSinceMs data centres whose last report is older keep their shares
 */
export function planShares(
    workspace: Workspace,
    ledger: ShareTracker,
    reportedSinceMs: number,
): readonly RateShare[] | undefined {
    const moves = chooseTargets(workspace, ledger, reportedSinceMs);
    const room = roomToGrow(workspace, ledger, moves);
    const growth = moves.map(move => ({
        ratePerSecond: Math.max(0, move.target.ratePerSecond - move.ceiling.ratePerSecond),
        burst: Math.max(0, move.target.burst - move.ceiling.burst),
    }));
    const granted = fitGrowth(room, growth);
    const planned = moves.map((move, index) => ({
        workspace: workspace.name,
        dataCentre: move.dataCentre,
        ratePerSecond: Math.min(move.target.ratePerSecond, move.ceiling.ratePerSecond + granted[index]!.ratePerSecond),
        burst: Math.min(move.target.burst, move.ceiling.burst + granted[index]!.burst),
    }));
    const rest = subtract(workspace, sumShares(moves.map(({ current }) => current)));
    const threshold = isRest(workspace, rest) ? smallestRestPart : smallestMovePart;
    const isWorthwhile = moves.some((move, index) => differs(workspace, move.current, planned[index]!, threshold));
    return isWorthwhile ? planned : undefined;
}

function chooseTargets(workspace: Workspace, ledger: ShareTracker, reportedSinceMs: number): readonly Move[] {
    const present = ledger.dataCentres.map(dataCentre => ({
        dataCentre,
        current: ledger.currentShare(dataCentre),
        ceiling: ledger.maximumShare(dataCentre),
    }));
    const first = ledger.isUndivided;
    const movable = present.filter(({ dataCentre }) => first || ledger.hasReportedSince(dataCentre, reportedSinceMs));
    const kept = present.filter(entry => !movable.includes(entry));
    const total = subtract(workspace, sumShares(kept.map(({ ceiling }) => ceiling)));
    const targets = targetShares(total, movable.map(({ dataCentre }) => ledger.wantedPerSecond(dataCentre)));
    const exceeds = first || exceedsRate(workspace, present.map(({ current }) => current));
    const short = present.map(({ dataCentre, current }) =>
        isUndersupplied(ledger.wantedPerSecond(dataCentre), current)
    );
    const isUneven = movable.some(({ current }, index) =>
        Math.abs(targets[index]!.ratePerSecond - current.ratePerSecond)
            > smallestMovePartWhenAllShort * workspace.ratePerSecond
    );
    const retargets = exceeds || short.includes(true) && (short.includes(false) || isUneven);
    return present.map(entry => {
        const target = targets[movable.indexOf(entry)];
        if (target === undefined) {
            return { ...entry, target: entry.current };
        }
        // What is left to give out goes to whoever would use it. Taking back at the same time would follow the noise
        // of small demands, and each reduction would leave a new rest.
        return { ...entry, target: retargets ? target : componentwiseMaximum(entry.current, target) };
    });
}

/** Tells whether a data centre could use more than its share. */
export function isUndersupplied(wantedPerSecond: number, share: Share): boolean {
    return wantedPerSecond > shortPart * share.ratePerSecond + chanceSlackPerSecond;
}

/** The shares exceed a rate or burst that was lowered. */
function exceedsRate(workspace: Workspace, shares: readonly Share[]): boolean {
    const sum = sumShares(shares);
    return sum.ratePerSecond > (1 + smallestRestPart) * workspace.ratePerSecond || sum.burst > workspace.burst;
}

/** A part of the workspace's rate or burst that is worth giving out. */
function isRest(workspace: Workspace, part: Share): boolean {
    return part.ratePerSecond > smallestRestPart * workspace.ratePerSecond || part.burst >= 1;
}

function roomToGrow(workspace: Workspace, ledger: ShareTracker, moves: readonly Move[]): Share {
    const current = sumShares(moves.map(move => move.current));
    const unknownRest = !ledger.allConfirmed && current.ratePerSecond > 0;
    const limit = unknownRest
        ? {
            ratePerSecond: Math.min(current.ratePerSecond, workspace.ratePerSecond),
            burst: Math.min(current.burst, workspace.burst),
        }
        : workspace;
    return subtract(limit, sumShares(moves.map(move => move.ceiling)));
}

/** Cuts growth down to the room, by the same part for everybody; bursts in whole units. */
function fitGrowth(room: Share, growth: readonly Share[]): readonly Share[] {
    const wanted = sumShares(growth);
    const ratePart = wanted.ratePerSecond > 0 ? Math.min(1, room.ratePerSecond / wanted.ratePerSecond) : 0;
    const units = Math.min(room.burst, wanted.burst);
    const bursts = apportionUnits(units, growth.map(({ burst }) => wanted.burst > 0 ? burst / wanted.burst : 0));
    return growth.map(({ ratePerSecond, burst }, index) => ({
        ratePerSecond: ratePerSecond * ratePart,
        burst: Math.min(burst, bursts[index]!),
    }));
}

function differs(workspace: Workspace, current: Share, planned: Share, part: number): boolean {
    return Math.abs(planned.ratePerSecond - current.ratePerSecond) > part * workspace.ratePerSecond
        || Math.abs(planned.burst - current.burst) >= Math.max(1, part * workspace.burst);
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
