/** Converts between change requests of operators and commands of the replicated control state. */
import { type BeginEvacuation, type Command, CommandKind, type EndEvacuation } from "../model/controlMessages.ts";
import { RepeatPolicy } from "../model/workClass.ts";
import type { ChangeRequest } from "./generated/operator.ts";

/** Commands that operators may send. Groups, leases and shares are changed only by the system itself. */
export type OperatorCommand = Extract<Command, { readonly expectedVersion: number; }> | EvacuationCommand;

export type EvacuationCommand = BeginEvacuation | EndEvacuation;

/**
 * Decodes the command of a request.
 * @returns the command, or a text that describes the error in the request
 */
export function decodeChange(request: ChangeRequest): OperatorCommand | string {
    const { expectedVersion } = request;
    if (request.setWorkClass !== undefined) {
        const { repeat, ...rest } = request.setWorkClass;
        const policy = Object.values(RepeatPolicy).find(each => each === repeat);
        return policy === undefined
            ? `repeat is "${repeat}"; allowed are ${Object.values(RepeatPolicy).join(" and ")}`
            : { kind: CommandKind.SetWorkClass, expectedVersion, workClass: { ...rest, repeat: policy } };
    }
    return decodePlainChange(request) ?? "the request names no change; use a newer client or server";
}

function decodePlainChange(request: ChangeRequest): OperatorCommand | undefined {
    const { expectedVersion } = request;
    if (request.removeWorkClass !== undefined) {
        return { kind: CommandKind.RemoveWorkClass, expectedVersion, name: request.removeWorkClass };
    }
    if (request.setWorkspace !== undefined) {
        return { kind: CommandKind.SetWorkspace, expectedVersion, workspace: request.setWorkspace };
    }
    if (request.removeWorkspace !== undefined) {
        return { kind: CommandKind.RemoveWorkspace, expectedVersion, name: request.removeWorkspace };
    }
    if (request.issueKey !== undefined) {
        return { kind: CommandKind.IssueKey, expectedVersion, key: request.issueKey };
    }
    if (request.withdrawKey !== undefined) {
        return { kind: CommandKind.WithdrawKey, expectedVersion, id: request.withdrawKey };
    }
    if (request.setOpenRoute !== undefined) {
        return { kind: CommandKind.SetOpenRoute, expectedVersion, openRoute: request.setOpenRoute };
    }
    if (request.removeOpenRoute !== undefined) {
        return { kind: CommandKind.RemoveOpenRoute, expectedVersion, service: request.removeOpenRoute };
    }
    if (request.beginEvacuation !== undefined) {
        return { kind: CommandKind.BeginEvacuation, evacuation: request.beginEvacuation };
    }
    if (request.endEvacuation !== undefined) {
        return { kind: CommandKind.EndEvacuation, dataCentre: request.endEvacuation };
    }
    return undefined;
}

export function encodeChange(operationId: string, command: OperatorCommand): ChangeRequest {
    const empty: ChangeRequest = {
        operationId,
        expectedVersion: "expectedVersion" in command ? command.expectedVersion : 0,
        setWorkClass: undefined,
        removeWorkClass: undefined,
        setWorkspace: undefined,
        removeWorkspace: undefined,
        issueKey: undefined,
        withdrawKey: undefined,
        setOpenRoute: undefined,
        removeOpenRoute: undefined,
        beginEvacuation: undefined,
        endEvacuation: undefined,
    };
    switch (command.kind) {
        case CommandKind.SetWorkClass:
            return { ...empty, setWorkClass: { ...command.workClass } };
        case CommandKind.RemoveWorkClass:
            return { ...empty, removeWorkClass: command.name };
        case CommandKind.SetWorkspace:
            return { ...empty, setWorkspace: { ...command.workspace } };
        case CommandKind.RemoveWorkspace:
            return { ...empty, removeWorkspace: command.name };
        case CommandKind.IssueKey:
            return { ...empty, issueKey: { ...command.key } };
        case CommandKind.WithdrawKey:
            return { ...empty, withdrawKey: command.id };
        case CommandKind.SetOpenRoute:
            return { ...empty, setOpenRoute: { ...command.openRoute } };
        case CommandKind.RemoveOpenRoute:
            return { ...empty, removeOpenRoute: command.service };
        case CommandKind.BeginEvacuation:
            return { ...empty, beginEvacuation: { ...command.evacuation } };
        case CommandKind.EndEvacuation:
            return { ...empty, endEvacuation: command.dataCentre };
    }
}
