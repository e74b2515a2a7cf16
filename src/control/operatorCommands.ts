/** Commands of operators: work classes, workspaces, keys and open routes. */
import type {
    IssueKey,
    RemoveWorkspace,
    SetOpenRoute,
    SetWorkClass,
    SetWorkspace,
    WithdrawKey,
} from "../model/controlMessages.ts";
import { ObjectList } from "../model/replicatedLog.ts";
import { RepeatPolicy } from "../model/workClass.ts";
import {
    type CommandOutcome,
    currentVersion,
    findRefusal,
    invalid,
    putVersionedObject,
    removeVersionedObject,
} from "./commandOutcome.ts";
import { findObject, withObjects, withoutObjects } from "./configurationObjects.ts";
import { type ControlState, retiredKey } from "./controlState.ts";
import { shrinkShares } from "./rateShareCommands.ts";
import {
    checkAtLeast,
    checkDoubleSha1,
    checkFraction,
    checkName,
    checkNonNegative,
    checkOneOf,
    checkPositive,
    firstError,
    type ValidationError,
} from "./validation.ts";

export function setWorkClass(state: ControlState, command: SetWorkClass): CommandOutcome {
    const { name, maximumAgeMs, waitingMs, repeat, objectiveShare } = command.workClass;
    const error = firstError(
        checkName("work class name", name),
        checkNonNegative("maximum age in ms", maximumAgeMs),
        checkNonNegative("waiting time in ms", waitingMs),
        checkOneOf("repeat policy", repeat, Object.values(RepeatPolicy)),
        checkFraction("objective share", objectiveShare),
    );
    return findRefusal(state, ObjectList.WorkClasses, name, command.expectedVersion, error)
        ?? putVersionedObject(
            state,
            ObjectList.WorkClasses,
            version => ({ name, maximumAgeMs, waitingMs, repeat, objectiveShare, version }),
        );
}

/** Sets a workspace. Shares that no longer fit its rate and burst shrink in the same change. */
export function setWorkspace(state: ControlState, command: SetWorkspace): CommandOutcome {
    const { name, ratePerSecond, burst, keyValidityMs } = command.workspace;
    const error = firstError(
        checkName("workspace name", name),
        checkPositive("rate per second", ratePerSecond),
        checkAtLeast("burst", burst, 1),
        checkNonNegative("key validity in ms", keyValidityMs),
    );
    const refusal = findRefusal(state, ObjectList.Workspaces, name, command.expectedVersion, error);
    if (refusal !== undefined) {
        return refusal;
    }
    const change = putVersionedObject(
        state,
        ObjectList.Workspaces,
        version => ({ name, ratePerSecond, burst, keyValidityMs, version }),
    );
    const shares = shrinkShares(
        state.configuration.rateShares.filter(share => share.workspace === name),
        command.workspace,
    );
    const objects = shares.map(value => ({ list: ObjectList.RateShares, value }));
    return { ...change, state: { ...change.state, configuration: withObjects(change.state.configuration, objects) } };
}

/** Removes a workspace and its shares. Its keys and open routes must be gone first, so that none is left dangling. */
export function removeWorkspace(state: ControlState, command: RemoveWorkspace): CommandOutcome {
    const { keys, openRoutes, rateShares } = state.configuration;
    const { name } = command;
    const change = removeVersionedObject(state, ObjectList.Workspaces, name, command.expectedVersion);
    if (change.state === state) {
        return change;
    }
    if ([...keys, ...openRoutes].some(user => user.workspace === name)) {
        const detail = `workspace "${name}" still has keys or open routes; withdraw or remove them first`;
        return invalid(state, currentVersion(state, ObjectList.Workspaces, name), detail);
    }
    const removals = rateShares
        .filter(share => share.workspace === name)
        .map(share => ({ list: ObjectList.RateShares, objectId: `${name}/${share.dataCentre}` }));
    return {
        ...change,
        state: { ...change.state, configuration: withoutObjects(change.state.configuration, removals) },
    };
}

export function issueKey(state: ControlState, command: IssueKey): CommandOutcome {
    const { id, workspace, doubleSha1Hex } = command.key;
    const withdrawn = state.retired.has(retiredKey(ObjectList.Keys, id));
    const error = firstError(
        checkName("key id", id),
        checkDoubleSha1("double SHA-1", doubleSha1Hex),
        withdrawn ? `key "${id}" was withdrawn and its id cannot be used again; choose another id` : undefined,
        checkWorkspaceExists(state, workspace),
    );
    return findRefusal(state, ObjectList.Keys, id, command.expectedVersion, error)
        ?? putVersionedObject(state, ObjectList.Keys, version => ({ id, workspace, doubleSha1Hex, version }));
}

export function withdrawKey(state: ControlState, command: WithdrawKey): CommandOutcome {
    return removeVersionedObject(state, ObjectList.Keys, command.id, command.expectedVersion);
}

export function setOpenRoute(state: ControlState, command: SetOpenRoute): CommandOutcome {
    const { service, workspace } = command.openRoute;
    const error = firstError(checkName("service", service), checkWorkspaceExists(state, workspace));
    return findRefusal(state, ObjectList.OpenRoutes, service, command.expectedVersion, error)
        ?? putVersionedObject(state, ObjectList.OpenRoutes, version => ({ service, workspace, version }));
}

function checkWorkspaceExists(state: ControlState, workspace: string): ValidationError {
    return findObject(state.configuration, ObjectList.Workspaces, workspace) === undefined
        ? `workspace "${workspace}" does not exist; create it first`
        : undefined;
}
