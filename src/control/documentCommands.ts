/** Commands on the configuration document and on promotions. */
import type { CompletePromotion, PutDocument, ReservePromotion } from "../model/controlMessages.ts";
import { emptyDocument } from "../model/document.ts";
import type { PromotionRecord } from "../model/promotion.ts";
import { ObjectList } from "../model/replicatedLog.ts";
import { applied, type CommandChange, conflict, invalid } from "./commandChange.ts";
import { findObject, withObjects, withoutObjects } from "./configurationObjects.ts";
import type { ControlState } from "./controlState.ts";
import { checkName, checkWhole, firstFault } from "./validation.ts";

/** A document that is not newer changes nothing and is no conflict: the highest version wins. */
export function putDocument(state: ControlState, command: PutDocument): CommandChange {
    const { head, baseVersion, upserts, removals } = command;
    const fault = firstFault(
        checkWhole("document version", head.documentVersion),
        checkWhole("base version", baseVersion),
    );
    const current = (state.configuration.documentHeads[0] ?? emptyDocument).documentVersion;
    if (fault !== undefined) {
        return invalid(state, current, fault);
    }
    if (head.documentVersion <= current) {
        return conflict(state, current, `the document has version ${current} already`);
    }
    if (baseVersion !== current) {
        return conflict(state, current, `the document has version ${current}, the change rests on ${baseVersion}`);
    }
    const kept = withoutObjects(
        state.configuration,
        removals.map(objectId => ({ list: ObjectList.DocumentEntries, objectId })),
    );
    const configuration = withObjects(kept, [
        ...upserts.map(value => ({ list: ObjectList.DocumentEntries, value })),
        { list: ObjectList.DocumentHeads, value: head },
    ]);
    return applied({ ...state, configuration }, head.documentVersion);
}

export function reservePromotion(state: ControlState, command: ReservePromotion): CommandChange {
    const fault = firstFault(
        checkName("service", command.service),
        checkWhole("expected fence", command.expectedFence),
    );
    const current = findObject(state.configuration, ObjectList.Promotions, command.service) as
        | PromotionRecord
        | undefined;
    const fence = current?.fence ?? 0;
    if (fault !== undefined) {
        return invalid(state, fence, fault);
    }
    if (fence !== command.expectedFence) {
        return conflict(state, fence, `the fence is ${fence}, expected was ${command.expectedFence}`);
    }
    const databaseId = current?.databaseId ?? "";
    return put(state, { service: command.service, fence: fence + 1, open: true, databaseId });
}

export function completePromotion(state: ControlState, command: CompletePromotion): CommandChange {
    const current = findObject(state.configuration, ObjectList.Promotions, command.service) as
        | PromotionRecord
        | undefined;
    if (current === undefined || current.fence !== command.fence) {
        return conflict(state, current?.fence ?? 0, "a later promotion was reserved");
    }
    return put(state, { ...current, open: false, databaseId: command.databaseId });
}

function put(state: ControlState, value: PromotionRecord): CommandChange {
    const configuration = withObjects(state.configuration, [{ list: ObjectList.Promotions, value }]);
    return applied({ ...state, configuration }, value.fence);
}
