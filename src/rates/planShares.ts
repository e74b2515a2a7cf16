/** One step from the present shares of a workspace towards its target shares. */
import type { RateShare } from "../model/configuration.ts";
import type { Workspace } from "../model/workspace.ts";
import type { ShareLedger } from "./shareLedger.ts";
import { noShare, type Share } from "./shareTable.ts";
import { targetShares } from "./targetShares.ts";

/** A data centre is short when its demand is above this part of its share, which its home's refill hardly reaches. */
const shortPart = 0.9;

/** Demand per second that chance alone adds to a small share; following it would change the configuration for nothing. */
const chanceSlackPerSecond = 1;

/** Smallest part of the workspace's rate that is worth a log entry when it is given out. */
const smallestRestPart = 0.02;

/** Smallest part worth moving; a smaller one would follow the noise of the demand with an entry every second. */
const smallestMovePart = 0.1;

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
    ledger: ShareLedger,
    reportedSinceMs: number,
): readonly RateShare[] | undefined {
    const moves = chooseTargets(workspace, ledger, reportedSinceMs);
    const room = roomToGrow(workspace, ledger, moves);
    const growth = moves.map(move => ({
        ratePerSecond: Math.max(0, move.target.ratePerSecond - move.ceiling.ratePerSecond),
        burst: Math.max(0, move.target.burst - move.ceiling.burst),
    }));
    const part = fittingPart(room, growth);
    const planned = moves.map((move, index) => ({
        workspace: workspace.name,
        dataCentre: move.dataCentre,
        ratePerSecond: Math.min(
            move.target.ratePerSecond,
            move.ceiling.ratePerSecond + growth[index]!.ratePerSecond * part.ratePerSecond,
        ),
        burst: Math.min(move.target.burst, move.ceiling.burst + Math.floor(growth[index]!.burst * part.burst)),
    }));
    const threshold = hasRest(workspace, moves.map(move => move.current)) ? smallestRestPart : smallestMovePart;
    const isWorthwhile = moves.some((move, index) => differs(workspace, move.current, planned[index]!, threshold));
    return isWorthwhile ? planned : undefined;
}

function chooseTargets(workspace: Workspace, ledger: ShareLedger, reportedSinceMs: number): readonly Move[] {
    const present = ledger.dataCentres.map(dataCentre => ({
        dataCentre,
        current: ledger.current(dataCentre),
        ceiling: ledger.ceiling(dataCentre),
    }));
    const first = present.every(({ current }) => current.ratePerSecond === 0);
    const movable = present.filter(({ dataCentre }) => first || ledger.reportedSince(dataCentre, reportedSinceMs));
    const kept = present.filter(entry => !movable.includes(entry));
    const total = subtract(workspace, sumShares(kept.map(({ ceiling }) => ceiling)));
    const targets = targetShares(total, movable.map(({ dataCentre }) => ledger.wantedPerSecond(dataCentre)));
    const isNeeded = first || needsMove(workspace, ledger, present, movable.map(({ dataCentre }) => dataCentre));
    return present.map(entry => {
        const index = movable.indexOf(entry);
        return { ...entry, target: index >= 0 && isNeeded ? targets[index]! : entry.current };
    });
}

/** Tells whether a data centre could use more than its share. */
export function isShort(wantedPerSecond: number, share: Share): boolean {
    return wantedPerSecond > shortPart * share.ratePerSecond + chanceSlackPerSecond;
}

/** Some data centre is short, or the shares are not the whole rate. */
function needsMove(
    workspace: Workspace,
    ledger: ShareLedger,
    present: readonly { readonly dataCentre: string; readonly current: Share; }[],
    movable: readonly string[],
): boolean {
    return hasRest(workspace, present.map(({ current }) => current))
        || movable.some(dataCentre => isShort(ledger.wantedPerSecond(dataCentre), ledger.current(dataCentre)));
}

/** The shares are not the whole of the workspace's rate and burst, or more than that. */
function hasRest(workspace: Workspace, shares: readonly Share[]): boolean {
    const sum = sumShares(shares);
    return Math.abs(workspace.ratePerSecond - sum.ratePerSecond) > smallestRestPart * workspace.ratePerSecond
        || sum.burst > workspace.burst
        || sum.burst <= workspace.burst - 1;
}

function roomToGrow(workspace: Workspace, ledger: ShareLedger, moves: readonly Move[]): Share {
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

function fittingPart(room: Share, growth: readonly Share[]): Share {
    const wanted = sumShares(growth);
    return {
        ratePerSecond: wanted.ratePerSecond > 0 ? Math.min(1, room.ratePerSecond / wanted.ratePerSecond) : 0,
        burst: wanted.burst > 0 ? Math.min(1, room.burst / wanted.burst) : 0,
    };
}

function differs(workspace: Workspace, current: Share, planned: Share, part: number): boolean {
    return Math.abs(planned.ratePerSecond - current.ratePerSecond) > part * workspace.ratePerSecond
        || Math.abs(planned.burst - current.burst) >= Math.max(1, part * workspace.burst);
}

function sumShares(shares: readonly Share[]): Share {
    return shares.reduce((sum, share) => ({
        ratePerSecond: sum.ratePerSecond + share.ratePerSecond,
        burst: sum.burst + share.burst,
    }), noShare);
}

function subtract(left: Share, right: Share): Share {
    return {
        ratePerSecond: Math.max(0, left.ratePerSecond - right.ratePerSecond),
        burst: Math.max(0, left.burst - right.burst),
    };
}
