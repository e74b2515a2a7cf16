/** Applies committed commands to the control state. Deterministic: equal logs give equal states on every member. */
import { match } from "ts-pattern";
import { type Command, CommandKind, ProposalStatus } from "../model/controlMessages.ts";
import { ObjectList, type OperationResult } from "../model/replicatedLog.ts";
import { type CommandOutcome, conflict, invalid, removeVersionedObject } from "./commandOutcome.ts";
import { type ControlState, rememberOperation } from "./controlState.ts";
import { putDocument } from "./documentCommands.ts";
import { assignLeases, setGroup } from "./groupAndLeaseCommands.ts";
import {
    issueKey,
    removeWorkspace,
    setOpenRoute,
    setWorkClass,
    setWorkspace,
    withdrawKey,
} from "./operatorCommands.ts";
import {
    completePromotion,
    recordCommitWitnesses,
    recordDatabases,
    recordPromotionOrder,
    reservePromotion,
} from "./promotionCommands.ts";
import { setRateShares } from "./rateShareCommands.ts";
import { checkName } from "./validation.ts";

export interface AppliedCommand {
    readonly state: ControlState;
    readonly result: OperationResult;
}

/**
 * Applies `command` of the log entry `index`. A change sets the configuration version to `index`.
 * @param operationId empty if the proposer never retries; otherwise the first result is stored and returned to retries
 */
export function applyCommand(
    state: ControlState,
    index: number,
    operationId: string,
    command: Command,
): AppliedCommand {
    const firstResult = state.operations.get(operationId);
    if (firstResult !== undefined) {
        return { state, result: firstResult };
    }
    const operationIdError = operationId === "" ? undefined : checkName("operation id", operationId);
    if (operationIdError !== undefined) {
        return toAppliedCommand(invalid(state, 0, operationIdError), index);
    }
    const applied = toAppliedCommand(executeOrRefuse(state, command), index);
    return operationId === ""
        ? applied
        : { ...applied, state: rememberOperation(applied.state, operationId, applied.result) };
}

// A malformed command in the log must not crash every member that applies its entry.
function executeOrRefuse(state: ControlState, command: Command): CommandOutcome {
    try {
        return execute(state, command);
    }
    catch (error) {
        return invalid(state, 0, `malformed command: ${String(error)}`);
    }
}

function execute(state: ControlState, command: Command): CommandOutcome {
    return match(command)
        .with({ kind: CommandKind.SetWorkClass }, matched => setWorkClass(state, matched))
        .with(
            { kind: CommandKind.RemoveWorkClass },
            matched => removeVersionedObject(state, ObjectList.WorkClasses, matched.name, matched.expectedVersion),
        )
        .with({ kind: CommandKind.SetWorkspace }, matched => setWorkspace(state, matched))
        .with({ kind: CommandKind.RemoveWorkspace }, matched => removeWorkspace(state, matched))
        .with({ kind: CommandKind.IssueKey }, matched => issueKey(state, matched))
        .with({ kind: CommandKind.WithdrawKey }, matched => withdrawKey(state, matched))
        .with({ kind: CommandKind.SetOpenRoute }, matched => setOpenRoute(state, matched))
        .with(
            { kind: CommandKind.RemoveOpenRoute },
            matched => removeVersionedObject(state, ObjectList.OpenRoutes, matched.service, matched.expectedVersion),
        )
        .with({ kind: CommandKind.SetGroup }, matched => setGroup(state, matched))
        .with({ kind: CommandKind.AssignLeases }, matched => assignLeases(state, matched))
        .with({ kind: CommandKind.SetRateShares }, matched => setRateShares(state, matched))
        .with({ kind: CommandKind.PutDocument }, matched => putDocument(state, matched))
        .with({ kind: CommandKind.ReadBarrier }, () => conflict(state, 0, "a barrier changes nothing"))
        .with({ kind: CommandKind.ReservePromotion }, matched => reservePromotion(state, matched))
        .with({ kind: CommandKind.CompletePromotion }, matched => completePromotion(state, matched))
        .with({ kind: CommandKind.RecordPromotionOrder }, matched => recordPromotionOrder(state, matched))
        .with({ kind: CommandKind.RecordDatabases }, matched => recordDatabases(state, matched))
        .with({ kind: CommandKind.RecordCommitWitnesses }, matched => recordCommitWitnesses(state, matched))
        .otherwise(() => invalid(state, 0, "unknown kind of command"));
}

function toAppliedCommand(outcome: CommandOutcome, index: number): AppliedCommand {
    const { status, version, detail } = outcome;
    const state = status === ProposalStatus.Applied
        ? { ...outcome.state, configuration: { ...outcome.state.configuration, version: index } }
        : outcome.state;
    return { state, result: { status, version, configurationVersion: state.configuration.version, detail } };
}
