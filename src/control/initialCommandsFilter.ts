/** Creates the initial work classes, workspaces and keys of a new cluster. */
import { match } from "ts-pattern";
import { ClusterKind, type ConfigurationApplied } from "../model/clusterMessages.ts";
import type { Configuration } from "../model/configuration.ts";
import { type Command, ControlKind, type ControlLeaderChanged, type ControlPropose } from "../model/controlMessages.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";

type InitialCommandsInput = ControlLeaderChanged | ConfigurationApplied;

/** Proposes the initial commands each time this instance becomes leader, until the cluster has a configuration. */
export class InitialCommandsFilter implements Filter<InitialCommandsInput, Message> {
    readonly step = "initial_commands";
    readonly accepts = [ControlKind.LeaderChanged, ClusterKind.ConfigurationApplied];
    private readonly commands: readonly Command[];
    private configured = false;

    constructor(commands: readonly Command[]) {
        this.commands = commands;
    }

    process(message: InitialCommandsInput): readonly Message[] {
        return match(message)
            .with({ kind: ClusterKind.ConfigurationApplied }, applied => {
                this.configured = this.configured || isConfigured(applied.configuration);
                return [applied];
            })
            .with({ kind: ControlKind.LeaderChanged }, changed => [changed, ...this.propose(changed)])
            .exhaustive();
    }

    // The operation ids are constant, so that a later leader that proposes the same commands changes nothing.
    private propose({ leading }: ControlLeaderChanged): readonly ControlPropose[] {
        if (!leading || this.configured) {
            return [];
        }
        return this.commands.map((command, index) => ({
            kind: ControlKind.Propose,
            proposalId: `initial-${index}`,
            operationId: `initial-${index}`,
            command,
        }));
    }
}

function isConfigured({ workClasses, workspaces, keys, openRoutes }: Configuration): boolean {
    return workClasses.length + workspaces.length + keys.length + openRoutes.length > 0;
}
