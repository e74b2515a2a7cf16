/** One connection to a database: what state it carries and what it waits for. */
import { type LinkCommand, LinkCommandKind } from "../model/linkMessages.ts";
import type { PreparedStatement, SessionContext, SessionStatement } from "../model/sessionStatement.ts";
import { SessionStatementKind } from "../model/sessionStatement.ts";
import type { TaskPlaced } from "./taskMessages.ts";

export const LinkState = {
    Opening: "opening",
    Idle: "idle",
    /** An attempt, or the clean-up behind one, is under way. */
    Busy: "busy",
    /** It holds the open transaction of a session that does not use it at the moment. */
    Pinned: "pinned",
} as const;
export type LinkState = typeof LinkState[keyof typeof LinkState];

/** What a reply that is awaited on a link stands for. */
export const ReplyRole = {
    /** Session state, set before the statement. */
    Prelude: "prelude",
    /** Must succeed before the statement is sent. */
    Gate: "gate",
    /** The caller's statement. */
    Statement: "statement",
    /** Ends what the gate began. */
    Cleanup: "cleanup",
} as const;
export type ReplyRole = typeof ReplyRole[keyof typeof ReplyRole];

/** Prepared statements that one link may hold; above this the link is reset. */
const maximumPreparedStatements = 256;

export class Link {
    readonly linkId: string;
    readonly databaseId: string;
    readonly workspace: string;
    state: LinkState = LinkState.Opening;
    /** Roles of the replies that are awaited, in order. */
    readonly expectedReplies: ReplyRole[] = [];
    attempt: LinkAttempt | undefined;
    /** Session whose transaction is open here. */
    pinnedSessionId: string | undefined;
    idleSinceMs = 0;
    /** The transaction of the attempt is given up; roll back after the reply. */
    isAbandoned = false;
    private readonly values = new Map<string, string>();
    private readonly prepared = new Set<string>();

    constructor(parts: { readonly linkId: string; readonly databaseId: string; readonly workspace: string; }) {
        this.linkId = parts.linkId;
        this.databaseId = parts.databaseId;
        this.workspace = parts.workspace;
    }

    /** Tells whether the link carries a value that the session does not have. */
    needsReset({ values }: SessionContext): boolean {
        return [...this.values.keys()].some(name => !values.has(name))
            || this.prepared.size > maximumPreparedStatements;
    }

    /** Number of session values that a statement of this session would have to set first. */
    countMissingValues({ values }: SessionContext): number {
        return [...values].filter(([name, value]) => this.values.get(name) !== value).length;
    }

    /** Commands that give the link the state of a session, as far as the statement depends on it. */
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

/** An attempt on its way through a link. */
export interface LinkAttempt {
    readonly placed: TaskPlaced;
    sentMs: number | undefined;
    /** The statement itself was sent. */
    sent: boolean;
    /** The gate proved that the database leads. */
    leads: boolean;
}

/** The command for a caller's statement, with the name that its prepared statement has on links. */
export function statementCommand({ task, floor }: Pick<TaskPlaced, "task" | "floor">): LinkCommand {
    const statement = task.statement!;
    const prepared = preparedStatementOf(task.context, statement);
    return prepared === undefined
        ? { kind: LinkCommandKind.Run, statement, floor }
        : { kind: LinkCommandKind.Execute, statement, name: sharedName(prepared), floor };
}

/** What an executed name stands for in a session. */
export function preparedStatementOf(
    context: SessionContext,
    statement: SessionStatement | undefined,
): PreparedStatement | undefined {
    return statement?.kind === SessionStatementKind.Execute ? context.prepared.get(statement.name) : undefined;
}

/** Equal shapes share a name, so that names of different callers cannot collide on a shared link. */
function sharedName({ writes, shape }: PreparedStatement): string {
    return `${writes ? "w" : "r"}_${shape}`;
}
