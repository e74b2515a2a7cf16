/** Commands for promotions, and for what the choice of a new primary relies on. */
import type {
    CompletePromotion,
    RecordCommitWitnesses,
    RecordDatabases,
    RecordPromotionOrder,
    ReservePromotion,
} from "../model/controlMessages.ts";
import { promotionOf, type PromotionRecord } from "../model/promotion.ts";
import { ObjectList } from "../model/replicatedLog.ts";
import { applied, type CommandOutcome, conflict, invalid } from "./commandOutcome.ts";
import { withObjects, withoutObjects } from "./configurationObjects.ts";
import type { ControlState } from "./controlState.ts";
import { checkName, checkNonNegativeInteger, firstError } from "./validation.ts";

export function reservePromotion(state: ControlState, command: ReservePromotion): CommandOutcome {
    const error = firstError(
        checkName("service", command.service),
        checkNonNegativeInteger("expected fence", command.expectedFence),
    );
    const current = promotionOf(state.configuration.promotions, command.service);
    const { fence } = current;
    if (error !== undefined) {
        return invalid(state, fence, error);
    }
    if (fence !== command.expectedFence) {
        return conflict(state, fence, `the fence is ${fence}, expected was ${command.expectedFence}`);
    }
    return putPromotion(state, { ...current, fence: fence + 1, open: current.open || command.keepsPrimary !== true });
}

export function recordPromotionOrder(state: ControlState, command: RecordPromotionOrder): CommandOutcome {
    const { databaseId: orderedDatabaseId, fence: orderedFence, position: orderedPosition } = command;
    return changePromotion(state, command, current => ({
        ...current,
        orderedDatabaseId,
        orderedFence,
        orderedPosition,
    }));
}

export function completePromotion(state: ControlState, command: CompletePromotion): CommandOutcome {
    const { databaseId, orderPending, departed, basePosition, keepsPrimary } = command;
    if (keepsPrimary === true) {
        return changePromotion(state, command, current => ({ ...current, orderPending }));
    }
    // A command that was proposed twice ends the record only of those databases that were lost at the first time.
    return changePromotion(state, command, current =>
        !current.open ? current : ({
            ...current,
            open: false,
            databaseId,
            primaryAddress: current.databases.find(database => database.databaseId === databaseId)?.address ?? "",
            orderedDatabaseId: "",
            orderedFence: undefined,
            orderedPosition: undefined,
            orderPending,
            // The new primary holds all commits that lost and departed databases confirmed.
            databases: current.databases.filter(database =>
                !database.isLost && !departed.includes(database.databaseId)
            ),
            basePosition,
        }));
}

export function recordDatabases(state: ControlState, { service, databases }: RecordDatabases): CommandOutcome {
    const current = promotionOf(state.configuration.promotions, service);
    const error = checkName("service", service);
    return error === undefined
        ? putPromotion(state, { ...current, databases })
        : invalid(state, current.fence, error);
}

export function recordCommitWitnesses(
    state: ControlState,
    { added, removed }: RecordCommitWitnesses,
): CommandOutcome {
    const error = firstError(...added.map(instanceId => checkName("instance id", instanceId)));
    if (error !== undefined) {
        return invalid(state, 0, error);
    }
    const list = ObjectList.CommitWitnesses;
    const remaining = withoutObjects(state.configuration, removed.map(objectId => ({ list, objectId })));
    const configuration = withObjects(remaining, added.map(instanceId => ({ list, value: { instanceId } })));
    return applied({ ...state, configuration }, 0);
}

/** Changes the record of a promotion unless a later one has been reserved. */
function changePromotion(
    state: ControlState,
    { service, fence }: { readonly service: string; readonly fence: number; },
    change: (current: PromotionRecord) => PromotionRecord,
): CommandOutcome {
    const current = promotionOf(state.configuration.promotions, service);
    return current.fence === fence
        ? putPromotion(state, change(current))
        : conflict(state, current.fence, "a later promotion was reserved");
}

function putPromotion(state: ControlState, value: PromotionRecord): CommandOutcome {
    const configuration = withObjects(state.configuration, [{ list: ObjectList.Promotions, value }]);
    return applied({ ...state, configuration }, value.fence);
}
