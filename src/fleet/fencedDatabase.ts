/** The leader's connection to one database while a promotion is prepared: opens it, repeats commands, keeps the state. */
import {
    type DatabaseStatus,
    type LinkCommand,
    LinkCommandKind,
    LinkKind,
    LinkLoss,
    type LinkLost,
    type LinkOpened,
    type LinkReplied,
} from "../model/linkMessages.ts";
import { hasReached, type Position } from "../model/position.ts";
import type { Message } from "../pipeline/message.ts";
import type { ElectorateMember } from "./electorate.ts";

/** Delay before a command is sent to a database again, or a connection to it is opened again. */
export const retryDelayMs = 60;

/** Time after which a connection that is still opening, or on which a command is unanswered, is opened again. */
const answerTimeoutMs = 600;

/** Time after which a database that has stopped is asked whether it still is. */
const recheckIntervalMs = 300;

export interface FencedDatabaseOptions {
    readonly service: string;
    nextLinkId(): string;
}

export class FencedDatabase {
    member: ElectorateMember;
    status: DatabaseStatus | undefined;
    /** The database neither confirms nor acknowledges commits: a paused replica, or a primary that has stepped down. */
    stopped = false;
    /** Time at which the command was sent whose answer last showed that the database has stopped. */
    provedStoppedMs = -Infinity;
    /** Since when the database has answered that it has received nothing; undefined if it has received commits. */
    emptySinceMs: number | undefined;
    /** No process listens at the database's address. */
    hasNoListener = false;
    /** How often the database was found to have started again without its log. */
    logLosses = 0;
    private readonly options: FencedDatabaseOptions;
    private linkId: string | undefined;
    private isOpen = false;
    /** A command was sent on this connection; a repetition of its answer may arrive at any time. */
    private isUsed = false;
    /** The connection has brought an answer. */
    private isAnswered = false;
    /** A command that was sent and is not answered yet. */
    private pending: LinkCommand | undefined;
    /** Time at which the connection was requested or the pending command sent. */
    private requestedAtMs = 0;
    private retryAtMs = 0;
    /** Pauses that the database has answered without stopping; it knows a higher term than this process. */
    private refusedPauses = 0;
    /** Term of the pause that has stopped the database; 0 for a primary that stepped down. */
    private pausedTerm = 0;
    /** Time at which the database was last shown to have stopped. */
    private stoppedAtMs = 0;

    constructor(member: ElectorateMember, options: FencedDatabaseOptions) {
        this.member = member;
        this.options = options;
    }

    get databaseId(): string {
        return this.member.databaseId;
    }

    get receivedPosition(): Position | undefined {
        return this.status?.receivedPosition;
    }

    /** Added to the term of a pause, which must be above the newest term that the database knows. */
    get termMargin(): number {
        return this.refusedPauses;
    }

    get hasLostLog(): boolean {
        return this.logLosses > 0;
    }

    /** The database has been paused, and has not been seen to receive again. */
    get isHeld(): boolean {
        return this.pausedTerm > 0 || (this.status?.heldTerm ?? 0) > 0;
    }

    owns(linkId: string): boolean {
        return linkId === this.linkId;
    }

    linkOpened({ position }: LinkOpened): void {
        this.isOpen = true;
        this.hasNoListener = false;
        if (position !== undefined && this.status === undefined) {
            this.status = { leads: false, term: position.term, receivedPosition: position, heldTerm: 0 };
        }
    }

    linkReplied({ reply }: LinkReplied, nowMs: number): void {
        const command = this.pending;
        if (command === undefined) {
            // A repetition of an earlier answer.
            return;
        }
        this.pending = undefined;
        this.retryAtMs = nowMs + retryDelayMs;
        const { status } = reply;
        const isFirst = !this.isAnswered;
        this.isAnswered = true;
        if (reply.fault !== undefined || status === undefined) {
            return;
        }
        const isBehind = this.status !== undefined
            && !hasReached(status.receivedPosition, this.status.receivedPosition);
        if (isBehind && !isFirst) {
            // A repetition of an earlier answer on this connection; a process that starts again ends its connections.
            return;
        }
        this.logLosses += isBehind ? 1 : 0;
        this.status = status;
        this.emptySinceMs = status.receivedPosition.offset > 0 ? undefined : this.emptySinceMs ?? nowMs;
        const stopped = this.isStoppedBy(command, status);
        if (stopped) {
            this.stoppedAtMs = nowMs;
            this.provedStoppedMs = isFirst ? this.requestedAtMs : this.provedStoppedMs;
            this.pausedTerm = status.heldTerm;
        }
        else if (command.kind === LinkCommandKind.Pause) {
            this.refusedPauses++;
        }
        else if (command.kind === LinkCommandKind.Resume) {
            this.pausedTerm = 0;
        }
        this.stopped = stopped;
    }

    linkLost({ loss }: LinkLost, nowMs: number): void {
        this.linkId = undefined;
        this.isOpen = false;
        this.pending = undefined;
        this.retryAtMs = nowMs + retryDelayMs;
        this.hasNoListener = loss === LinkLoss.NoListener;
        // The database may have started again, and then it receives again, or leads again.
        this.stopped = false;
        this.forgetLead();
    }

    /** The database reports that it has started again under its id, without its log: nothing of before is true any more. */
    restarted(nowMs: number): readonly Message[] {
        this.logLosses++;
        this.stopped = false;
        this.status = undefined;
        this.emptySinceMs = undefined;
        this.pausedTerm = 0;
        return this.reconnect(nowMs);
    }

    /** Opens the connection, or sends `command` on it, when that is due. */
    advance(command: LinkCommand | undefined, nowMs: number): readonly Message[] {
        if (nowMs < this.retryAtMs) {
            return [];
        }
        if (this.linkId === undefined) {
            return this.connect(nowMs);
        }
        if (!this.isOpen || this.pending !== undefined) {
            if (nowMs - this.requestedAtMs < answerTimeoutMs) {
                return [];
            }
            this.stopped = false;
            this.forgetLead();
            return this.reconnect(nowMs);
        }
        const isRecheck = this.stopped && command === undefined;
        if (isRecheck && nowMs - this.stoppedAtMs < recheckIntervalMs || command === undefined && !isRecheck) {
            return [];
        }
        if (this.isUsed && (isRecheck || needsProof(command!))) {
            return this.reconnect(nowMs);
        }
        return this.send(command ?? { kind: LinkCommandKind.Status }, nowMs);
    }

    /** Asks a database that has stopped, at the next opportunity, whether it still is. */
    proveAgain(): void {
        this.stoppedAtMs = -Infinity;
    }

    /** Asks a database that has stopped, at once, whether it still is. */
    proveNow(nowMs: number): readonly Message[] {
        this.proveAgain();
        this.retryAtMs = nowMs;
        return this.isUsed ? this.reconnect(nowMs) : this.advance(undefined, nowMs);
    }

    close(): readonly Message[] {
        return this.linkId === undefined ? [] : [{ kind: LinkKind.Close, linkId: this.linkId } as Message];
    }

    private forgetLead(): void {
        this.status = this.status === undefined ? undefined : { ...this.status, leads: false };
    }

    private isStoppedBy(command: LinkCommand, { leads, heldTerm }: DatabaseStatus): boolean {
        if (leads) {
            return false;
        }
        switch (command.kind) {
            case LinkCommandKind.StepDown:
                return true;
            case LinkCommandKind.Pause:
                return heldTerm >= command.term;
            default:
                // A process that has started again holds no pause.
                return this.stopped && heldTerm >= this.pausedTerm;
        }
    }

    private send(command: LinkCommand, nowMs: number): readonly Message[] {
        this.pending = command;
        this.isUsed = true;
        this.requestedAtMs = nowMs;
        if (command.kind === LinkCommandKind.Resume) {
            this.stopped = false;
        }
        return [{ kind: LinkKind.Send, linkId: this.linkId!, commands: [command] } as Message];
    }

    private reconnect(nowMs: number): readonly Message[] {
        const closed = this.close();
        this.isOpen = false;
        this.pending = undefined;
        return [...closed, ...this.connect(nowMs)];
    }

    private connect(nowMs: number): readonly Message[] {
        const { databaseId, address } = this.member;
        this.linkId = this.options.nextLinkId();
        this.isUsed = false;
        this.isAnswered = false;
        this.requestedAtMs = nowMs;
        const { service } = this.options;
        return [{ kind: LinkKind.Open, linkId: this.linkId, address, service, workspace: "", databaseId } as Message];
    }
}

/**
 * Whether the answer must be told from repetitions of earlier ones, which only the first answer on a connection can. What
 * a status tells otherwise is true from then on: a position that was reached, a term that was led.
 */
function needsProof({ kind }: LinkCommand): boolean {
    return kind === LinkCommandKind.Pause || kind === LinkCommandKind.StepDown;
}
