/** One connection to a database, with the session state that is set on it and the replies that it expects. */
import { type LinkCommand, LinkCommandKind } from "../model/linkMessages.ts";
import type { Position } from "../model/position.ts";
import type { PreparedStatement, SessionContext, SessionStatement } from "../model/sessionStatement.ts";
import { SessionStatementKind } from "../model/sessionStatement.ts";
import type { Gate } from "./linkGate.ts";
import { ReplyMatcher } from "./replyMatcher.ts";
import type { TaskPlaced } from "./taskMessages.ts";

export const LinkState = {
    Opening: "opening",
    Idle: "idle",
    /** An attempt, or the cleanup after one, is in progress. */
    Busy: "busy",
    /** Reserved for a session that has an open transaction on it and runs no statement at the moment. */
    Pinned: "pinned",
} as const;
export type LinkState = typeof LinkState[keyof typeof LinkState];

/** Maximum of prepared statements on one link; a link with more is reset. */
const maximumPreparedStatements = 256;

export class Link {
    readonly linkId: string;
    readonly databaseId: string;
    readonly workspace: string;
    state: LinkState = LinkState.Opening;
    readonly replies = new ReplyMatcher();
    attempt: LinkAttempt | undefined;
    /** Session whose transaction is open on this link. */
    pinnedSessionId: string | undefined;
    idleSinceMs = 0;
    /** The session has abandoned the attempt; its transaction is rolled back after the reply. */
    isAbandoned = false;
    private readonly values = new Map<string, string>();
    private readonly prepared = new Set<string>();

    constructor(parts: { readonly linkId: string; readonly databaseId: string; readonly workspace: string; }) {
        this.linkId = parts.linkId;
        this.databaseId = parts.databaseId;
        this.workspace = parts.workspace;
    }

    /** Returns whether the link has a variable that the session lacks, or too many prepared statements. */
    needsReset({ values }: SessionContext): boolean {
        return [...this.values.keys()].some(name => !values.has(name))
            || this.prepared.size > maximumPreparedStatements;
    }

    /** Number of session variables that have to be set on the link before a statement of this session. */
    countMissingValues({ values }: SessionContext): number {
        return [...values].filter(([name, value]) => this.values.get(name) !== value).length;
    }

    /**
     * Returns the commands that set the session state that a statement depends on, and records it as set on this link.
     */
    preludeCommands(context: SessionContext, statement: SessionStatement | undefined): readonly LinkCommand[] {
        const commands: LinkCommand[] = [];
        if (this.needsReset(context)) {
            commands.push({ kind: LinkCommandKind.Reset });
            this.values.clear();
            this.prepared.clear();
        }
        for (const [name, value] of context.values) {
            if (this.values.get(name) !== value) {
                commands.push({ kind: LinkCommandKind.SetValue, name, value });
                this.values.set(name, value);
            }
        }
        const prepared = preparedStatementOf(context, statement);
        if (prepared !== undefined && !this.prepared.has(sharedName(prepared))) {
            commands.push({ kind: LinkCommandKind.Prepare, name: sharedName(prepared), prepared });
            this.prepared.add(sharedName(prepared));
        }
        return commands;
    }
}

/** An attempt at running a task that is in progress on a link. */
export interface LinkAttempt {
    readonly placed: TaskPlaced;
    readonly gate: Gate;
    sentMs: number | undefined;
    /** Position that the database's log was known to have reached before the statement was sent. */
    readonly knownPosition: Position | undefined;
    /** The statement itself was sent, not only the commands before it. */
    sent: boolean;
    /** The database proved during this attempt that it is the primary. */
    leads: boolean;
}

/** Returns the command that runs a caller's statement. */
export function statementCommand({ task, floor }: Pick<TaskPlaced, "task" | "floor">): LinkCommand {
    const statement = task.statement!;
    const prepared = preparedStatementOf(task.context, statement);
    return prepared === undefined
        ? { kind: LinkCommandKind.Run, statement, floor }
        : { kind: LinkCommandKind.Execute, statement, name: sharedName(prepared), floor };
}

/** Returns the prepared statement that an `execute` statement refers to. */
export function preparedStatementOf(
    context: SessionContext,
    statement: SessionStatement | undefined,
): PreparedStatement | undefined {
    return statement?.kind === SessionStatementKind.Execute ? context.prepared.get(statement.name) : undefined;
}

/**
 * Name of a prepared statement on links. It is derived from the statement, because sessions that share a link may use
 * one name for different statements.
 */
function sharedName({ writes, shape }: PreparedStatement): string {
    return `${writes ? "w" : "r"}_${shape}`;
}
