/** Outcomes of commands, and helpers for commands on versioned objects. */
import { ProposalStatus } from "../model/controlMessages.ts";
import { type ConfigurationObject, ObjectList } from "../model/replicatedLog.ts";
import { configurationObjectId, findObject, withObjects, withoutObjects } from "./configurationObjects.ts";
import { type ControlState, retiredKey } from "./controlState.ts";
import { checkNonNegativeInteger, type ValidationError } from "./validation.ts";

/** Outcome of applying one command. */
export interface CommandOutcome {
    /** New state, or the unchanged state if the command was refused. */
    readonly state: ControlState;
    readonly status: typeof ProposalStatus.Applied | typeof ProposalStatus.Conflict | typeof ProposalStatus.Invalid;
    /** New version of the object, or its current version if the command was refused; 0 if there is none. */
    readonly version: number;
    readonly detail: string;
}

type VersionedList =
    | typeof ObjectList.WorkClasses
    | typeof ObjectList.Workspaces
    | typeof ObjectList.Keys
    | typeof ObjectList.OpenRoutes
    | typeof ObjectList.Evacuations;

export function applied(state: ControlState, version: number): CommandOutcome {
    return { state, status: ProposalStatus.Applied, version, detail: "" };
}

export function conflict(state: ControlState, version: number, detail: string): CommandOutcome {
    return { state, status: ProposalStatus.Conflict, version, detail };
}

export function invalid(state: ControlState, version: number, detail: string): CommandOutcome {
    return { state, status: ProposalStatus.Invalid, version, detail };
}

/** Current version of a versioned object; 0 if it does not exist. */
export function currentVersion(state: ControlState, list: VersionedList, objectId: string): number {
    return findObject(state.configuration, list, objectId)?.version ?? 0;
}

/** The outcome for a command that is invalid or expects another version; undefined if the command can be applied. */
export function findRefusal(
    state: ControlState,
    list: VersionedList,
    objectId: string,
    expectedVersion: number,
    fieldError: ValidationError,
): CommandOutcome | undefined {
    const version = currentVersion(state, list, objectId);
    const error = fieldError ?? checkNonNegativeInteger("expected version", expectedVersion);
    if (error !== undefined) {
        return invalid(state, version, error);
    }
    if (version !== expectedVersion) {
        const detail = `${list} "${objectId}" has version ${version}, expected was ${expectedVersion}; read it again`;
        return conflict(state, version, detail);
    }
    return undefined;
}

/** Adds or replaces a versioned object and increments its version, also that of an object that was removed before. */
export function putVersionedObject(
    state: ControlState,
    list: VersionedList,
    build: (version: number) => ConfigurationObject["value"],
): CommandOutcome {
    const objectId = configurationObjectId({ list, value: build(0) } as ConfigurationObject);
    const retired = state.retired.get(retiredKey(list, objectId)) ?? 0;
    const version = Math.max(currentVersion(state, list, objectId), retired) + 1;
    const object = { list, value: build(version) } as ConfigurationObject;
    return applied({ ...state, configuration: withObjects(state.configuration, [object]) }, version);
}

/** Removes a versioned object and stores its last version in `retired`. */
export function removeVersionedObject(
    state: ControlState,
    list: VersionedList,
    objectId: string,
    expectedVersion: number,
): CommandOutcome {
    const version = currentVersion(state, list, objectId);
    if (version === 0) {
        return conflict(state, 0, `${list} "${objectId}" does not exist`);
    }
    const refusal = findRefusal(state, list, objectId, expectedVersion, undefined);
    if (refusal !== undefined) {
        return refusal;
    }
    const retired = new Map(state.retired).set(retiredKey(list, objectId), version);
    const configuration = withoutObjects(state.configuration, [{ list, objectId }]);
    return applied({ ...state, configuration, retired }, version);
}
