/** Commands that begin and end the evacuation of a data centre. Both may be repeated: the last one in the log decides. */
import type { BeginEvacuation, EndEvacuation } from "../model/controlMessages.ts";
import { ObjectList } from "../model/replicatedLog.ts";
import {
    type CommandOutcome,
    conflict,
    currentVersion,
    invalid,
    putVersionedObject,
    removeVersionedObject,
} from "./commandOutcome.ts";
import type { ControlState } from "./controlState.ts";
import { checkNonNegative, checkText, firstError } from "./validation.ts";

const list = ObjectList.Evacuations;

/** Refused as a conflict, which changes nothing, if the data centre is evacuated already. */
export function beginEvacuation(state: ControlState, { evacuation }: BeginEvacuation): CommandOutcome {
    const { dataCentre, orderedBy, orderedAtUnixMs } = evacuation;
    const error = firstError(
        checkText("data centre", dataCentre),
        checkText("operator", orderedBy),
        checkNonNegative("time of the order in Unix ms", orderedAtUnixMs),
    );
    if (error !== undefined) {
        return invalid(state, 0, error);
    }
    const version = currentVersion(state, list, dataCentre);
    return version > 0
        ? conflict(state, version, `data centre "${dataCentre}" is evacuated already`)
        : putVersionedObject(state, list, next => ({ dataCentre, orderedBy, orderedAtUnixMs, version: next }));
}

/** Refused as a conflict, which changes nothing, if the data centre is not evacuated. */
export function endEvacuation(state: ControlState, { dataCentre }: EndEvacuation): CommandOutcome {
    const error = checkText("data centre", dataCentre);
    if (error !== undefined) {
        return invalid(state, 0, error);
    }
    const version = currentVersion(state, list, dataCentre);
    return version === 0
        ? conflict(state, 0, `data centre "${dataCentre}" is not evacuated`)
        : removeVersionedObject(state, list, dataCentre, version);
}
