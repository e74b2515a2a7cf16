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

/** Maximum of prepared statements on one link, and of the bytes of their texts; a link with more is reset. */
const maximumPreparedStatements = 256;
const maximumPreparedBytes = 1_048_576;

export class Link {
    readonly linkId: string;
    readonly databaseId: string;
    readonly workspace: string;
    /** Time at which opening began. */
    readonly openedMs: number;
    state: LinkState = LinkState.Opening;
    /** No attempt has been made on it. */
    isUnused = true;
    readonly replies = new ReplyMatcher();
    attempt: LinkAttempt | undefined;
    /** Session whose transaction is open on this link. */
    pinnedSessionId: string | undefined;
    idleSinceMs = 0;
    /** The session has abandoned the attempt; its transaction is rolled back after the reply. */
    isAbandoned = false;
    private readonly values = new Map<string, string>();
    /** Names of the prepared statements on this link, by text, of reads and of writes. */
    private readonly preparedReads = new Map<string, string>();
    private readonly preparedWrites = new Map<string, string>();
    private preparedBytes = 0;
    private nextPreparedNumber = 1;

    constructor(
        parts: {
            readonly linkId: string;
            readonly databaseId: string;
            readonly workspace: string;
            readonly openedMs?: number;
        },
    ) {
        this.linkId = parts.linkId;
        this.databaseId = parts.databaseId;
        this.workspace = parts.workspace;
        this.openedMs = parts.openedMs ?? 0;
    }

    /** Returns whether the link has a variable that the session lacks, or too many prepared statements. */
    needsReset({ values }: SessionContext): boolean {
        return [...this.values.keys()].some(name => !values.has(name))
            || this.preparedReads.size + this.preparedWrites.size > maximumPreparedStatements
            || this.preparedBytes > maximumPreparedBytes;
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
            this.preparedReads.clear();
            this.preparedWrites.clear();
            this.preparedBytes = 0;
        }
        for (const [name, value] of context.values) {
            if (this.values.get(name) !== value) {
                commands.push({ kind: LinkCommandKind.SetValue, name, value });
                this.values.set(name, value);
            }
        }
        const prepared = preparedStatementOf(context, statement);
        if (prepared !== undefined && !this.preparedBy(prepared).has(prepared.shape)) {
            commands.push({ kind: LinkCommandKind.Prepare, name: this.addPrepared(prepared), prepared });
        }
        return commands;
    }

    /** Returns the command that runs a caller's statement, after the commands of `preludeCommands`. */
    statementCommand({ task, floor }: Pick<TaskPlaced, "task" | "floor">): LinkCommand {
        const statement = task.statement!;
        const prepared = preparedStatementOf(task.context, statement);
        return prepared === undefined
            ? { kind: LinkCommandKind.Run, statement, floor }
            : {
                kind: LinkCommandKind.Execute,
                statement,
                name: this.preparedBy(prepared).get(prepared.shape)!,
                floor,
            };
    }

    private preparedBy({ writes }: PreparedStatement): Map<string, string> {
        return writes ? this.preparedWrites : this.preparedReads;
    }

    /**
     * Gives a prepared statement a name. It holds no text of callers, which could be read as another name and another
     * text, and no name is given twice, because sessions that share a link use one name for different statements.
     */
    private addPrepared(prepared: PreparedStatement): string {
        const name = `p${this.nextPreparedNumber++}`;
        this.preparedBy(prepared).set(prepared.shape, name);
        this.preparedBytes += prepared.shape.length;
        return name;
    }
}

/** An attempt at running a task that is in progress on a link. */
export interface LinkAttempt {
    readonly placed: TaskPlaced;
    readonly gate: Gate;
    sentMs: number;
    /** Links that were opening or busy when the attempt started, including its own. */
    readonly inFlightAtStart: number;
    /** Position that the database's log was known to have reached before the statement was sent. */
    readonly knownPosition: Position | undefined;
    /** The statement itself was sent, not only the commands before it. */
    sent: boolean;
    /** The database proved during this attempt that it is the primary. */
    leads: boolean;
}

/** Returns the prepared statement that an `execute` statement refers to. */
export function preparedStatementOf(
    context: SessionContext,
    statement: SessionStatement | undefined,
): PreparedStatement | undefined {
    return statement?.kind === SessionStatementKind.Execute ? context.prepared.get(statement.name) : undefined;
}
