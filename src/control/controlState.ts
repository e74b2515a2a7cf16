/** State of the replicated state machine, and its conversion to and from snapshot records. */
import { type Configuration, emptyConfiguration } from "../model/configuration.ts";
import {
    type ConfigurationObject,
    ObjectList,
    type OperationResult,
    RecordKind,
    type SnapshotRecord,
} from "../model/replicatedLog.ts";
import { configurationObjects, withObjects } from "./configurationObjects.ts";

/** Operations whose result is stored for retries; covers two days at 1,900 changes a day. */
export const maximumRememberedOperations = 4_096;

/** Immutable: a command returns a new state. */
export interface ControlState {
    readonly configuration: Configuration;
    /**
     * Last version of each removed object by `list/id`. An object that is created again continues from this version, so
     * that an operator with an outdated expected version cannot change the new object.
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

/** Stores the result of an operation and drops the oldest results above the limit. */
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

export function toSnapshotRecords(state: ControlState): readonly SnapshotRecord[] {
    return [
        ...configurationObjects(state.configuration).map(object => ({ kind: RecordKind.Object, object })),
        ...[...state.retired].map(([objectId, version]) => ({ kind: RecordKind.Retired, objectId, version })),
        ...[...state.operations].map(([operationId, result]) => ({ kind: RecordKind.Operation, operationId, result })),
    ];
}

/** Restores a state from its snapshot records. */
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

/** Key of an object in `retired`. */
export function retiredKey(list: ObjectList, objectId: string): string {
    return `${list}/${objectId}`;
}
