/**
 * Gates: commands that must succeed before a statement is sent. They prove that the database is the primary, that the link
 * is alive, or that the session state which was set on the link just before is in effect.
 */
import { type LinkCommand, LinkCommandKind } from "../model/linkMessages.ts";
import { TaskMode } from "../model/sessionStatement.ts";
import type { TaskPlaced } from "./taskMessages.ts";

/** Idle time after which a link is checked before a write is sent on it. */
const livenessCheckIdleMs = 1_000;

export interface Gate {
    /** Empty when the statement can be sent at once. */
    readonly commands: readonly LinkCommand[];
    /** The statement runs in the transaction that the gate begins; otherwise the gate ends it first. */
    readonly containsStatement: boolean;
    /** An answer that may repeat an earlier one does not open the gate. */
    readonly needsProof: boolean;
}

export const openGate: Gate = { commands: [], containsStatement: false, needsProof: false };

const begin: LinkCommand = { kind: LinkCommandKind.Begin };
const beginUnconditionally: LinkCommand = { kind: LinkCommandKind.BeginRead, floor: undefined };
const rollback: LinkCommand = { kind: LinkCommandKind.Rollback };

/** @param provesPrelude the gate is to prove that the commands before it, which set session state, have succeeded */
export function gateOf({ task, floor }: TaskPlaced, idleMs: number, provesPrelude: boolean): Gate {
    switch (task.mode) {
        case TaskMode.Probe:
            // Any database tells its position in a read-only transaction; only the primary begins a plain one.
            return task.needsPrimary
                ? { commands: [begin, rollback], containsStatement: false, needsProof: true }
                : { commands: [beginUnconditionally, rollback], containsStatement: false, needsProof: false };
        case TaskMode.Transaction:
            return { commands: [begin], containsStatement: true, needsProof: true };
        case TaskMode.ReadTransaction: {
            // Any replica accepts a read-only transaction; only a plain BEGIN proves that the database is the primary.
            const beginRead: LinkCommand = { kind: LinkCommandKind.BeginRead, floor };
            return { commands: [task.needsPrimary ? begin : beginRead], containsStatement: true, needsProof: true };
        }
        case TaskMode.Single: {
            if (task.writes) {
                return provesPrelude || idleMs > livenessCheckIdleMs
                    ? { commands: [begin, rollback], containsStatement: false, needsProof: true }
                    : openGate;
            }
            if (task.needsPrimary) {
                // The signed answer to the read tells whether it ran in a transaction, which proves the gate.
                return { commands: [begin], containsStatement: true, needsProof: provesPrelude };
            }
            return provesPrelude
                ? { commands: [beginUnconditionally, rollback], containsStatement: false, needsProof: true }
                : openGate;
        }
    }
}
