/** Shares of a workspace's rate per data centre. */
import type { RateShare } from "../model/configuration.ts";
import type { SetRateShares } from "../model/controlMessages.ts";
import { ObjectList } from "../model/replicatedLog.ts";
import type { Workspace } from "../model/workspace.ts";
import { applied, type CommandOutcome, conflict, invalid } from "./commandOutcome.ts";
import { findObject, withObjects, withoutObjects } from "./configurationObjects.ts";
import type { ControlState } from "./controlState.ts";
import {
    checkDistinct,
    checkLength,
    checkName,
    checkNonNegative,
    firstError,
    type ValidationError,
} from "./validation.ts";

const maximumDataCentres = 64;

/** Relative excess that a sum of floating-point shares may have over the total by rounding alone. */
const roundingTolerance = 1e-9;

type ShareLimits = Pick<Workspace, "ratePerSecond" | "burst">;

export function setRateShares(state: ControlState, command: SetRateShares): CommandOutcome {
    const workspace = findObject(state.configuration, ObjectList.Workspaces, command.workspace);
    if (workspace === undefined) {
        return invalid(state, 0, `workspace "${command.workspace}" does not exist`);
    }
    if (workspace.version !== command.workspaceVersion) {
        const detail = `workspace "${workspace.name}" has version ${workspace.version}, the shares were computed for `
            + `${command.workspaceVersion}; compute them again`;
        return conflict(state, workspace.version, detail);
    }
    const error = checkShares(command) ?? checkTotals(command.shares, workspace);
    return error === undefined
        ? applied(replaceShares(state, command), workspace.version)
        : invalid(state, workspace.version, error);
}

/** Scales shares down so that their sums fit the limits; shares that fit are returned as they are. */
export function shrinkShares(shares: readonly RateShare[], limits: ShareLimits): readonly RateShare[] {
    const rateFactor = scaleFactor(sum(shares.map(share => share.ratePerSecond)), limits.ratePerSecond);
    const burstFactor = scaleFactor(sum(shares.map(share => share.burst)), limits.burst);
    if (rateFactor === 1 && burstFactor === 1) {
        return [];
    }
    return shares.map(share => ({
        ...share,
        ratePerSecond: share.ratePerSecond * rateFactor,
        burst: share.burst * burstFactor,
    }));
}

function checkShares(command: SetRateShares): ValidationError {
    return firstError(
        checkLength("shares", command.shares, 0, maximumDataCentres),
        checkDistinct("data centres of the shares", command.shares.map(share => share.dataCentre)),
        ...command.shares.map(share =>
            firstError(
                checkName("data centre", share.dataCentre),
                checkNonNegative("rate per second of a share", share.ratePerSecond),
                checkNonNegative("burst of a share", share.burst),
                share.workspace === command.workspace ? undefined : "a share belongs to another workspace",
            )
        ),
    );
}

function checkTotals(shares: readonly RateShare[], limits: ShareLimits): ValidationError {
    return firstError(
        checkTotal("rates", sum(shares.map(share => share.ratePerSecond)), limits.ratePerSecond),
        checkTotal("bursts", sum(shares.map(share => share.burst)), limits.burst),
    );
}

function checkTotal(quantity: string, total: number, limit: number): ValidationError {
    return total <= limit * (1 + roundingTolerance)
        ? undefined
        : `the ${quantity} of the shares add up to ${total}, above the workspace's ${limit}`;
}

function replaceShares(state: ControlState, command: SetRateShares): ControlState {
    const removals = state.configuration.rateShares
        .filter(share => share.workspace === command.workspace)
        .map(share => ({ list: ObjectList.RateShares, objectId: `${share.workspace}/${share.dataCentre}` }));
    const objects = command.shares.map(({ workspace, dataCentre, ratePerSecond, burst }) => ({
        list: ObjectList.RateShares,
        value: { workspace, dataCentre, ratePerSecond, burst },
    }));
    return { ...state, configuration: withObjects(withoutObjects(state.configuration, removals), objects) };
}

function scaleFactor(total: number, limit: number): number {
    return total <= limit ? 1 : limit / total;
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}
