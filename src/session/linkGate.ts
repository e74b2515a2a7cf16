/** Gates: preconditions of a statement that prove that its database is the primary, or that the link is alive. */
import { type LinkCommand, LinkCommandKind } from "../model/linkMessages.ts";
import { TaskMode } from "../model/sessionStatement.ts";
import type { TaskPlaced } from "./taskMessages.ts";

/** Idle time after which a link is checked before a write is sent on it. */
const livenessCheckIdleMs = 1_000;

/** Returns the commands that must succeed before the statement is sent; none when it can be sent at once. */
export function gateCommands(placed: TaskPlaced, idleMs: number): readonly LinkCommand[] {
    const { task, floor } = placed;
    const begin: LinkCommand = { kind: LinkCommandKind.Begin };
    switch (task.mode) {
        case TaskMode.Probe:
            return [begin, { kind: LinkCommandKind.Rollback }];
        case TaskMode.Transaction:
            return [begin];
        case TaskMode.ReadTransaction:
            // Any replica accepts a read-only transaction; only a plain BEGIN proves that the database is the primary.
            return task.needsPrimary ? [begin] : [{ kind: LinkCommandKind.BeginRead, floor }];
        case TaskMode.Single:
            if (!task.writes) {
                return task.needsPrimary ? [begin] : [];
            }
            return idleMs > livenessCheckIdleMs ? [begin, { kind: LinkCommandKind.Rollback }] : [];
    }
}

/** Returns whether the gate of an attempt only checks that the link is alive. */
export function isLivenessCheck({ task }: TaskPlaced): boolean {
    return task.mode === TaskMode.Single && task.writes;
}
