/** Commands of the health pipe: database groups and lease assignments. */
import type { AssignLeases, SetGroup } from "../model/controlMessages.ts";
import type { DatabaseGroup } from "../model/database.ts";
import { type LeaseAssignment, ResourceKind } from "../model/lease.ts";
import { ObjectList } from "../model/replicatedLog.ts";
import { applied, type CommandOutcome, conflict, invalid } from "./commandOutcome.ts";
import { findObject, listEntries, withObjects } from "./configurationObjects.ts";
import type { ControlState } from "./controlState.ts";
import {
    checkAddress,
    checkDistinct,
    checkLength,
    checkName,
    checkNonNegativeInteger,
    checkOneOf,
    checkResourceId,
    firstError,
    type ValidationError,
} from "./validation.ts";

const maximumGroupMembers = 64;
/** Above the databases and permit homes of the largest planned cluster; keeps one entry under 1 MB. */
const maximumAssignments = 4_000;

export function setGroup(state: ControlState, command: SetGroup): CommandOutcome {
    const { groupId, service, term, primaryId, memberIds } = command.group;
    const current = findObject(state.configuration, ObjectList.Groups, groupId);
    const currentTerm = current?.term ?? 0;
    const error = checkGroup(command);
    if (error !== undefined) {
        return invalid(state, currentTerm, error);
    }
    if (currentTerm !== command.expectedTerm) {
        const detail = `group "${groupId}" is in term ${currentTerm}, expected was ${command.expectedTerm}`;
        return conflict(state, currentTerm, detail);
    }
    const transitionError = current === undefined ? undefined : checkTransition(current, command.group);
    if (transitionError !== undefined) {
        return invalid(state, currentTerm, transitionError);
    }
    const value: DatabaseGroup = { groupId, service, term, primaryId, memberIds: [...memberIds] };
    const configuration = withObjects(state.configuration, [{ list: ObjectList.Groups, value }]);
    return applied({ ...state, configuration }, term);
}

export function assignLeases(state: ControlState, command: AssignLeases): CommandOutcome {
    const error = checkAssignments(command.assignments);
    if (error !== undefined) {
        return invalid(state, 0, error);
    }
    const current = new Map(listEntries(state.configuration, ObjectList.Leases));
    for (const assignment of command.assignments) {
        const epoch = (current.get(leaseId(assignment)) as LeaseAssignment | undefined)?.epoch ?? 0;
        if (assignment.epoch !== epoch + 1) {
            const detail = `lease ${leaseId(assignment)} is in epoch ${epoch}, epoch ${assignment.epoch} cannot follow`;
            return conflict(state, epoch, detail);
        }
    }
    const objects = command.assignments.map(({ resource, resourceId, instanceId, instanceAddress, epoch }) => ({
        list: ObjectList.Leases,
        value: { resource, resourceId, instanceId, instanceAddress, epoch },
    }));
    return applied({ ...state, configuration: withObjects(state.configuration, objects) }, 0);
}

function checkGroup({ group, expectedTerm }: SetGroup): ValidationError {
    return firstError(
        checkName("group id", group.groupId),
        checkName("service", group.service),
        checkName("primary id", group.primaryId),
        checkNonNegativeInteger("term", group.term),
        checkNonNegativeInteger("expected term", expectedTerm),
        checkLength("member ids", group.memberIds, 1, maximumGroupMembers),
        ...group.memberIds.map(memberId => checkName("member id", memberId)),
        checkDistinct("member ids", group.memberIds),
        group.memberIds.includes(group.primaryId) ? undefined : "the primary must be a member of its group",
    );
}

// Two instances that see one term must agree on its primary, so a change of primary needs a new term.
function checkTransition(current: DatabaseGroup, next: DatabaseGroup): ValidationError {
    if (next.term < current.term) {
        return `the term cannot fall from ${current.term} to ${next.term}`;
    }
    if (next.primaryId !== current.primaryId && next.term === current.term) {
        return `a change of primary needs a term above ${current.term}`;
    }
    return next.service === current.service ? undefined : `group "${current.groupId}" serves "${current.service}"`;
}

function checkAssignments(assignments: readonly LeaseAssignment[]): ValidationError {
    return firstError(
        checkLength("assignments", assignments, 1, maximumAssignments),
        checkDistinct("resources of the assignments", assignments.map(leaseId)),
        ...assignments.map(assignment =>
            firstError(
                checkOneOf("resource", assignment.resource, Object.values(ResourceKind)),
                checkResourceId("resource id", assignment.resourceId),
                checkName("instance id", assignment.instanceId),
                checkAddress("instance address", assignment.instanceAddress),
                checkNonNegativeInteger("epoch", assignment.epoch),
            )
        ),
    );
}

function leaseId(assignment: LeaseAssignment): string {
    return `${assignment.resource}/${assignment.resourceId}`;
}
