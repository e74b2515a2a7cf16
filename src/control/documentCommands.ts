/** Commands for the configuration document. */
import type { PutDocument } from "../model/controlMessages.ts";
import { emptyDocument } from "../model/document.ts";
import { ObjectList } from "../model/replicatedLog.ts";
import { applied, type CommandOutcome, conflict, invalid } from "./commandOutcome.ts";
import { withObjects, withoutObjects } from "./configurationObjects.ts";
import type { ControlState } from "./controlState.ts";
import { checkNonNegativeInteger, firstError } from "./validation.ts";

/** Updates the document. An update that is not newer than the stored document is refused: the highest version wins. */
export function putDocument(state: ControlState, command: PutDocument): CommandOutcome {
    const { head, baseVersion, upserts, removals } = command;
    const error = firstError(
        checkNonNegativeInteger("document version", head.documentVersion),
        checkNonNegativeInteger("base version", baseVersion),
    );
    const current = (state.configuration.documentHeads[0] ?? emptyDocument).documentVersion;
    if (error !== undefined) {
        return invalid(state, current, error);
    }
    if (head.documentVersion <= current) {
        return conflict(state, current, `the document has version ${current} already`);
    }
    if (baseVersion !== current) {
        return conflict(state, current, `the document has version ${current}, the change rests on ${baseVersion}`);
    }
    const remaining = withoutObjects(
        state.configuration,
        removals.map(objectId => ({ list: ObjectList.DocumentEntries, objectId })),
    );
    const configuration = withObjects(remaining, [
        ...upserts.map(value => ({ list: ObjectList.DocumentEntries, value })),
        { list: ObjectList.DocumentHeads, value: head },
    ]);
    return applied({ ...state, configuration }, head.documentVersion);
}
