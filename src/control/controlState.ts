/** The state machine behind the replicated log: its state, and its form as a list of snapshot records. */
import { type Configuration, emptyConfiguration } from "../model/configuration.ts";
import {
    type ConfigurationObject,
    ObjectList,
    type OperationResult,
    RecordKind,
    type SnapshotRecord,
} from "../model/replicatedLog.ts";
import { configurationObjects, withObjects } from "./configurationObjects.ts";

/** Operations whose first result is remembered; at 1,900 changes a day this covers resends of two days. */
export const maximumRememberedOperations = 4_096;

/** Immutable; a command yields a new state. */
export interface ControlState {
    readonly configuration: Configuration;
    /**
     * Last version of each removed object by `list/id`. An object created again continues from it, so that an operator
     * with an old expected version cannot change the new object.
     */
    readonly retired: ReadonlyMap<string, number>;
    /** First results by operation id, oldest first. */
    readonly operations: ReadonlyMap<string, OperationResult>;
}

export const emptyControlState: ControlState = {
    configuration: emptyConfiguration,
    retired: new Map(),
    operations: new Map(),
};

/** Adds the first result of an operation and forgets the oldest ones above the bound. */
export function rememberOperation(state: ControlState, operationId: string, result: OperationResult): ControlState {
    const operations = new Map(state.operations).set(operationId, result);
    for (const oldest of operations.keys()) {
        if (operations.size <= maximumRememberedOperations) {
            break;
        }
        operations.delete(oldest);
    }
    return { ...state, operations };
}

/** The records of a snapshot of `state`. */
export function toSnapshotRecords(state: ControlState): readonly SnapshotRecord[] {
    return [
        ...configurationObjects(state.configuration).map(object => ({ kind: RecordKind.Object, object })),
        ...[...state.retired].map(([objectId, version]) => ({ kind: RecordKind.Retired, objectId, version })),
        ...[...state.operations].map(([operationId, result]) => ({ kind: RecordKind.Operation, operationId, result })),
    ];
}

/** The state that `toSnapshotRecords` was given, at configuration version `version`. */
export function fromSnapshotRecords(records: readonly SnapshotRecord[], version: number): ControlState {
    const objects: ConfigurationObject[] = [];
    const retired = new Map<string, number>();
    const operations = new Map<string, OperationResult>();
    for (const record of records) {
        if (record.kind === RecordKind.Object) {
            objects.push(record.object);
        }
        else if (record.kind === RecordKind.Retired) {
            retired.set(record.objectId, record.version);
        }
        else {
            operations.set(record.operationId, record.result);
        }
    }
    return { configuration: withObjects({ ...emptyConfiguration, version }, objects), retired, operations };
}

/** Key of `retired` for an object. */
export function retiredKey(list: ObjectList, objectId: string): string {
    return `${list}/${objectId}`;
}
