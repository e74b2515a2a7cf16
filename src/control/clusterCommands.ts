/** Commands of the health pipe: database groups and lease assignments. */
import type { AssignLeases, SetGroup } from "../model/controlMessages.ts";
import type { DatabaseGroup } from "../model/database.ts";
import { type LeaseAssignment, ResourceKind } from "../model/lease.ts";
import { ObjectList } from "../model/replicatedLog.ts";
import { applied, type CommandChange, conflict, invalid } from "./commandChange.ts";
import { configurationEntries, findObject, withObjects } from "./configurationObjects.ts";
import type { ControlState } from "./controlState.ts";
import {
    checkAddress,
    checkDistinct,
    checkLength,
    checkName,
    checkOneOf,
    checkResourceId,
    checkWhole,
    type Fault,
    firstFault,
} from "./validation.ts";

const maximumGroupMembers = 64;
/** Above the databases and permit homes of the largest planned cluster; keeps one entry under 1 MB. */
const maximumAssignments = 4_000;

export function setGroup(state: ControlState, command: SetGroup): CommandChange {
    const { groupId, service, term, primaryId, memberIds } = command.group;
    const current = findObject(state.configuration, ObjectList.Groups, groupId);
    const currentTerm = current?.term ?? 0;
    const fault = checkGroup(command);
    if (fault !== undefined) {
        return invalid(state, currentTerm, fault);
    }
    if (currentTerm !== command.expectedTerm) {
        const detail = `group "${groupId}" is in term ${currentTerm}, expected was ${command.expectedTerm}`;
        return conflict(state, currentTerm, detail);
    }
    const transitionFault = current === undefined ? undefined : checkTransition(current, command.group);
    if (transitionFault !== undefined) {
        return invalid(state, currentTerm, transitionFault);
    }
    const value: DatabaseGroup = { groupId, service, term, primaryId, memberIds: [...memberIds] };
    const configuration = withObjects(state.configuration, [{ list: ObjectList.Groups, value }]);
    return applied({ ...state, configuration }, term);
}

export function assignLeases(state: ControlState, command: AssignLeases): CommandChange {
    const fault = checkAssignments(command.assignments);
    if (fault !== undefined) {
        return invalid(state, 0, fault);
    }
    const current = new Map(configurationEntries(state.configuration, ObjectList.Leases));
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

function checkGroup({ group, expectedTerm }: SetGroup): Fault {
    return firstFault(
        checkName("group id", group.groupId),
        checkName("service", group.service),
        checkName("primary id", group.primaryId),
        checkWhole("term", group.term),
        checkWhole("expected term", expectedTerm),
        checkLength("member ids", group.memberIds, 1, maximumGroupMembers),
        ...group.memberIds.map(memberId => checkName("member id", memberId)),
        checkDistinct("member ids", group.memberIds),
        group.memberIds.includes(group.primaryId) ? undefined : "the primary must be a member of its group",
    );
}

// Two instances that see one term must agree on its primary, so a change of primary needs a new term.
function checkTransition(current: DatabaseGroup, next: DatabaseGroup): Fault {
    if (next.term < current.term) {
        return `the term cannot fall from ${current.term} to ${next.term}`;
    }
    if (next.primaryId !== current.primaryId && next.term === current.term) {
        return `a change of primary needs a term above ${current.term}`;
    }
    return next.service === current.service ? undefined : `group "${current.groupId}" serves "${current.service}"`;
}

function checkAssignments(assignments: readonly LeaseAssignment[]): Fault {
    return firstFault(
        checkLength("assignments", assignments, 1, maximumAssignments),
        checkDistinct("resources of the assignments", assignments.map(leaseId)),
        ...assignments.map(assignment =>
            firstFault(
                checkOneOf("resource", assignment.resource, Object.values(ResourceKind)),
                checkResourceId("resource id", assignment.resourceId),
                checkName("instance id", assignment.instanceId),
                checkAddress("instance address", assignment.instanceAddress),
                checkWhole("epoch", assignment.epoch),
            )
        ),
    );
}

function leaseId(assignment: LeaseAssignment): string {
    return `${assignment.resource}/${assignment.resourceId}`;
}
