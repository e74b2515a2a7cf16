/** Application of one committed command to the control state. Equal logs give equal states on every member. */
import { match } from "ts-pattern";
import { type Command, CommandKind, ProposalStatus } from "../model/controlMessages.ts";
import { ObjectList, type OperationResult } from "../model/replicatedLog.ts";
import { assignLeases, setGroup } from "./clusterCommands.ts";
import { type CommandChange, conflict, invalid, removeVersioned } from "./commandChange.ts";
import { type ControlState, rememberOperation } from "./controlState.ts";
import { completePromotion, putDocument, reservePromotion } from "./documentCommands.ts";
import {
    issueKey,
    removeWorkspace,
    setOpenRoute,
    setWorkClass,
    setWorkspace,
    withdrawKey,
} from "./operatorCommands.ts";
import { setRateShares } from "./rateShareCommands.ts";
import { checkName } from "./validation.ts";

export interface AppliedCommand {
    readonly state: ControlState;
    readonly result: OperationResult;
}

/**
 * Applies `command` at log position `index`. A change raises the configuration version to `index`; a refusal leaves it.
 * @param operationId empty when the operation is never sent again; otherwise its first result is remembered
 */
export function applyCommand(
    state: ControlState,
    index: number,
    operationId: string,
    command: Command,
): AppliedCommand {
    const first = state.operations.get(operationId);
    if (first !== undefined) {
        return { state, result: first };
    }
    const operationFault = operationId === "" ? undefined : checkName("operation id", operationId);
    if (operationFault !== undefined) {
        return toResult(invalid(state, 0, operationFault), index);
    }
    const applied = toResult(changeOrRefuse(state, command), index);
    return operationId === ""
        ? applied
        : { ...applied, state: rememberOperation(applied.state, operationId, applied.result) };
}

// A malformed command that reached the log must not stop every member at its entry.
function changeOrRefuse(state: ControlState, command: Command): CommandChange {
    try {
        return change(state, command);
    }
    catch (error) {
        return invalid(state, 0, `malformed command: ${String(error)}`);
    }
}

function change(state: ControlState, command: Command): CommandChange {
    return match(command)
        .with({ kind: CommandKind.SetWorkClass }, found => setWorkClass(state, found))
        .with(
            { kind: CommandKind.RemoveWorkClass },
            found => removeVersioned(state, ObjectList.WorkClasses, found.name, found.expectedVersion),
        )
        .with({ kind: CommandKind.SetWorkspace }, found => setWorkspace(state, found))
        .with({ kind: CommandKind.RemoveWorkspace }, found => removeWorkspace(state, found))
        .with({ kind: CommandKind.IssueKey }, found => issueKey(state, found))
        .with({ kind: CommandKind.WithdrawKey }, found => withdrawKey(state, found))
        .with({ kind: CommandKind.SetOpenRoute }, found => setOpenRoute(state, found))
        .with(
            { kind: CommandKind.RemoveOpenRoute },
            found => removeVersioned(state, ObjectList.OpenRoutes, found.service, found.expectedVersion),
        )
        .with({ kind: CommandKind.SetGroup }, found => setGroup(state, found))
        .with({ kind: CommandKind.AssignLeases }, found => assignLeases(state, found))
        .with({ kind: CommandKind.SetRateShares }, found => setRateShares(state, found))
        .with({ kind: CommandKind.PutDocument }, found => putDocument(state, found))
        .with({ kind: CommandKind.ReadBarrier }, () => conflict(state, 0, "a barrier changes nothing"))
        .with({ kind: CommandKind.ReservePromotion }, found => reservePromotion(state, found))
        .with({ kind: CommandKind.CompletePromotion }, found => completePromotion(state, found))
        .otherwise(() => invalid(state, 0, "unknown kind of command"));
}

function toResult(outcome: CommandChange, index: number): AppliedCommand {
    const { status, version, detail } = outcome;
    const state = status === ProposalStatus.Applied
        ? { ...outcome.state, configuration: { ...outcome.state.configuration, version: index } }
        : outcome.state;
    return { state, result: { status, version, configurationVersion: state.configuration.version, detail } };
}
