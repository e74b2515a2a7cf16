/** What goes before a statement on a link: proof that its database leads, or that the link is alive. */
import { type LinkCommand, LinkCommandKind } from "../model/linkMessages.ts";
import { TaskMode, type TaskPlaced } from "./taskMessages.ts";

/** Idle time after which a link proves that it is alive before a write is sent on it. */
const livenessCheckIdleMs = 1_000;

/** Commands that must succeed before the statement is sent; empty when it may go at once. */
export function gateCommands(placed: TaskPlaced, idleMs: number): readonly LinkCommand[] {
    const { task, floor } = placed;
    const begin: LinkCommand = { kind: LinkCommandKind.Begin };
    switch (task.mode) {
        case TaskMode.Probe:
            return [begin, { kind: LinkCommandKind.Rollback }];
        case TaskMode.Transaction:
            return [begin];
        case TaskMode.ReadTransaction:
            // On a route that reads the primary, only a plain transaction proves that the database leads.
            return task.needsPrimary ? [begin] : [{ kind: LinkCommandKind.BeginRead, floor }];
        case TaskMode.Single:
            if (!task.writes) {
                return task.needsPrimary ? [begin] : [];
            }
            return idleMs > livenessCheckIdleMs ? [begin, { kind: LinkCommandKind.Rollback }] : [];
    }
}

/** Whether the gate only proves that the link is alive. */
export function isLivenessCheck({ task }: TaskPlaced): boolean {
    return task.mode === TaskMode.Single && task.writes;
}
