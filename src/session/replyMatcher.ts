/**
 * Matches the replies on a link to its commands. A database may repeat a reply at any later time, so their order proves
 * nothing by itself. What proves that a reply is the answer to a command:
 * - A signature that the link has not seen: the database signs each statement once.
 * - Without a signature, its content: the link has not seen the same reply at the same log position, and no reply that is
 *   still to come may look the same.
 * Replies come in the order of the commands, so an answer that is proved also proves that all commands before are answered.
 */
import { type LinkCommand, LinkCommandKind, type LinkReply } from "../model/linkMessages.ts";
import { comparePositions, laterPosition, type Position } from "../model/position.ts";
import { SessionStatementKind, TransactionState } from "../model/sessionStatement.ts";
import { detachText } from "./sessionLimits.ts";

/** Kind of command that an expected reply belongs to. */
export const ReplyRole = {
    /** Sets session state before the statement. */
    Prelude: "prelude",
    /** A precondition: must succeed before the statement is sent. */
    Gate: "gate",
    /** The caller's statement. */
    Statement: "statement",
    /** Rolls back the transaction that the gate began. */
    Cleanup: "cleanup",
} as const;
export type ReplyRole = typeof ReplyRole[keyof typeof ReplyRole];

export const ReplyVerdict = {
    /** The reply is the answer to the oldest command without one. */
    Proved: "proved",
    /** The reply has the form of that answer, but may repeat an earlier one. */
    Doubtful: "doubtful",
    /** The reply repeats an earlier one. */
    Repeated: "repeated",
    /** The reply belongs to no command. */
    Unmatched: "unmatched",
} as const;
export type ReplyVerdict = typeof ReplyVerdict[keyof typeof ReplyVerdict];

export type ReplyMatch =
    | { readonly verdict: typeof ReplyVerdict.Proved | typeof ReplyVerdict.Doubtful; readonly role: ReplyRole; }
    | { readonly verdict: typeof ReplyVerdict.Repeated | typeof ReplyVerdict.Unmatched; };

/** Whether a successful reply bears the signature of the database. */
const Signing = {
    Always: "always",
    Never: "never",
    /** The database may sign the reply. */
    Optional: "optional",
} as const;
type Signing = typeof Signing[keyof typeof Signing];

interface ExpectedReply {
    readonly role: ReplyRole;
    readonly signing: Signing;
    /** State of the transaction after the command succeeded. */
    readonly transaction: TransactionState;
    /** A rollback always succeeds on a connection that lives. */
    readonly canFail: boolean;
}

/** Maximum of signatures and of different other replies that a link remembers, and of their bytes; it is replaced then. */
const maximumRememberedReplies = 256;
const maximumRememberedBytes = 1_048_576;

/** Multiple of these maxima at which a link is given up although a statement is in progress on it. */
const overflowFactor = 4;

export class ReplyMatcher {
    private readonly expected: ExpectedReply[] = [];
    private readonly signatures = new Set<string>();
    /** The latest position of each reply without a signature, by its other content. */
    private readonly unsignedPositions = new Map<string, Position>();
    private rememberedBytes = 0;
    /** The latest positions of unsigned replies: faults, and successes that left a transaction open. */
    private faultPosition: Position | undefined;
    private openedPosition: Position | undefined;
    /** The latest position of the database on this link. */
    private latestPosition: Position | undefined;
    /** State of the transaction after the commands that were sent. */
    private transaction: TransactionState = TransactionState.None;
    /** States in which answers may still come because a doubtful reply was taken for each of them. */
    private readonly overdueStates = new Set<TransactionState>();
    /** One of those answers may be a fault. */
    private mayFaultBeOverdue = false;

    get expectedCount(): number {
        return this.expected.length;
    }

    /** The link has seen as many replies as it may remember. */
    get isExhausted(): boolean {
        return this.exceeds(1);
    }

    /** The database has sent so many replies to nothing that the link cannot wait for the end of its statement. */
    get isOverflowing(): boolean {
        return this.exceeds(overflowFactor);
    }

    /** Records a command that is sent on the link. */
    expect(role: ReplyRole, command: LinkCommand): void {
        this.transaction = stateAfter(command, this.transaction);
        this.expected.push({
            role,
            signing: signingOf(command),
            transaction: this.transaction,
            canFail: command.kind !== LinkCommandKind.Rollback && !isCallersRollback(command),
        });
    }

    match(reply: LinkReply): ReplyMatch {
        const match = reply.signature === undefined ? this.matchUnsigned(reply) : this.matchSigned(reply.signature);
        if ("role" in match) {
            this.expected.shift();
            if (reply.position !== undefined) {
                this.latestPosition = laterPosition(this.latestPosition, reply.position);
            }
            if (this.expected.length === 0) {
                this.transaction = reply.transaction;
            }
        }
        return match;
    }

    /**
     * Whether a fault can be told from a repeat of an earlier one on this link.
     * @param position the latest known position of the database
     */
    canProveFaults(position: Position | undefined): boolean {
        return !this.mayFaultBeOverdue && isBefore(this.faultPosition, position);
    }

    /**
     * Whether the answer to the beginning of a transaction can be told from a repeat of an earlier one on this link.
     * @param position the latest known position of the database
     */
    canProveBegin(position: Position | undefined): boolean {
        return this.canProveFaults(position) && !this.overdueStates.has(TransactionState.Open)
            && isBefore(this.openedPosition, position);
    }

    private matchSigned(signature: string): ReplyMatch {
        if (this.signatures.has(signature)) {
            return { verdict: ReplyVerdict.Repeated };
        }
        const expected = this.expected[0];
        if (expected === undefined || expected.signing === Signing.Never) {
            return { verdict: ReplyVerdict.Unmatched };
        }
        this.signatures.add(detachText(signature));
        this.rememberedBytes += signature.length;
        return this.prove(expected);
    }

    private matchUnsigned(reply: LinkReply): ReplyMatch {
        const expected = this.expected[0];
        const content = contentOf(reply);
        const isNew = this.isNew(content, reply.position);
        const isOutdated = !isNew && isOlder(reply.position, this.latestPosition);
        // A reply that answers nothing is remembered too, because it may be repeated like any other.
        this.remember(content, reply);
        if (expected === undefined || !fits(reply, expected) || isOutdated) {
            return { verdict: ReplyVerdict.Repeated };
        }
        const mayBeOverdue = reply.fault === undefined
            ? this.overdueStates.has(expected.transaction)
            : this.mayFaultBeOverdue;
        if (isNew && !mayBeOverdue) {
            return this.prove(expected);
        }
        this.overdueStates.add(expected.transaction);
        this.mayFaultBeOverdue ||= expected.canFail;
        return { verdict: ReplyVerdict.Doubtful, role: expected.role };
    }

    private prove({ role }: ExpectedReply): ReplyMatch {
        this.overdueStates.clear();
        this.mayFaultBeOverdue = false;
        return { verdict: ReplyVerdict.Proved, role };
    }

    private isNew(content: string, position: Position | undefined): boolean {
        const last = this.unsignedPositions.get(content);
        return last === undefined || isOlder(last, position);
    }

    private exceeds(factor: number): boolean {
        return this.signatures.size >= factor * maximumRememberedReplies
            || this.unsignedPositions.size >= factor * maximumRememberedReplies
            || this.rememberedBytes >= factor * maximumRememberedBytes;
    }

    private remember(content: string, reply: LinkReply): void {
        this.rememberedBytes += this.unsignedPositions.has(content) ? 0 : content.length;
        const position = reply.position ?? unknownPosition;
        this.unsignedPositions.set(content, laterPosition(this.unsignedPositions.get(content), position));
        if (reply.fault !== undefined) {
            this.faultPosition = laterPosition(this.faultPosition, position);
        }
        else if (reply.transaction === TransactionState.Open) {
            this.openedPosition = laterPosition(this.openedPosition, position);
        }
    }
}

/** Stands for the position of a reply without one; after all others, because nothing can be told from it. */
const unknownPosition: Position = { term: Infinity, offset: Infinity };

/** Whether a reply without a signature has the form of the expected one. */
function fits({ fault, transaction }: LinkReply, expected: ExpectedReply): boolean {
    return fault === undefined
        ? expected.signing !== Signing.Always && transaction === expected.transaction
        : expected.canFail;
}

function contentOf({ fault, detail, transaction, rows }: LinkReply): string {
    return JSON.stringify([transaction, fault ?? "", detail, rows]);
}

function isOlder(left: Position | undefined, right: Position | undefined): boolean {
    return left !== undefined && right !== undefined && comparePositions(left, right) < 0;
}

/** Whether `last`, the position of the last reply of a kind, if there was one, is before `position`. */
function isBefore(last: Position | undefined, position: Position | undefined): boolean {
    return last === undefined || isOlder(last, position);
}

function signingOf(command: LinkCommand): Signing {
    return command.kind !== LinkCommandKind.Run && command.kind !== LinkCommandKind.Execute
        ? Signing.Never
        : isCallersRollback(command)
        ? Signing.Optional
        : Signing.Always;
}

function isCallersRollback(command: LinkCommand): boolean {
    return command.kind === LinkCommandKind.Run && command.statement.kind === SessionStatementKind.Rollback;
}

function stateAfter(command: LinkCommand, before: TransactionState): TransactionState {
    switch (command.kind) {
        case LinkCommandKind.Begin:
        case LinkCommandKind.BeginRead:
            return TransactionState.Open;
        case LinkCommandKind.Rollback:
            return TransactionState.None;
        case LinkCommandKind.Run: {
            const { kind } = command.statement;
            return kind === SessionStatementKind.Commit || kind === SessionStatementKind.Rollback
                ? TransactionState.None
                : before;
        }
        default:
            return before;
    }
}
