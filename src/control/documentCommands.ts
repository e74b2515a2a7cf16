/** Commands on the configuration document and on promotions. */
import type { CompletePromotion, PutDocument, ReservePromotion } from "../model/controlMessages.ts";
import { emptyDocument } from "../model/document.ts";
import type { PromotionRecord } from "../model/promotion.ts";
import { ObjectList } from "../model/replicatedLog.ts";
import { applied, type CommandOutcome, conflict, invalid } from "./commandOutcome.ts";
import { findObject, withObjects, withoutObjects } from "./configurationObjects.ts";
import type { ControlState } from "./controlState.ts";
import { checkName, checkNonNegativeInteger, firstError } from "./validation.ts";

/** A document that is not newer changes nothing and is no conflict: the highest version wins. */
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

export function reservePromotion(state: ControlState, command: ReservePromotion): CommandOutcome {
    const error = firstError(
        checkName("service", command.service),
        checkNonNegativeInteger("expected fence", command.expectedFence),
    );
    const current = findObject(state.configuration, ObjectList.Promotions, command.service) as
        | PromotionRecord
        | undefined;
    const fence = current?.fence ?? 0;
    if (error !== undefined) {
        return invalid(state, fence, error);
    }
    if (fence !== command.expectedFence) {
        return conflict(state, fence, `the fence is ${fence}, expected was ${command.expectedFence}`);
    }
    const databaseId = current?.databaseId ?? "";
    return putPromotion(state, { service: command.service, fence: fence + 1, open: true, databaseId });
}

export function completePromotion(state: ControlState, command: CompletePromotion): CommandOutcome {
    const current = findObject(state.configuration, ObjectList.Promotions, command.service) as
        | PromotionRecord
        | undefined;
    if (current === undefined || current.fence !== command.fence) {
        return conflict(state, current?.fence ?? 0, "a later promotion was reserved");
    }
    return putPromotion(state, { ...current, open: false, databaseId: command.databaseId });
}

function putPromotion(state: ControlState, value: PromotionRecord): CommandOutcome {
    const configuration = withObjects(state.configuration, [{ list: ObjectList.Promotions, value }]);
    return applied({ ...state, configuration }, value.fence);
}
