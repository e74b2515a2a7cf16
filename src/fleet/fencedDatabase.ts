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
import type { Position } from "../model/position.ts";
import type { Message } from "../pipeline/message.ts";
import type { ElectorateMember } from "./electorate.ts";

/** Delay before a command is sent to a database again, or a connection to it is opened again. */
export const retryDelayMs = 60;

/** Time after which a connection that is still opening, or on which a command is unanswered, is opened again. */
const answerTimeoutMs = 600;

export interface FencedDatabaseOptions {
    readonly service: string;
    nextLinkId(): string;
}

export class FencedDatabase {
    member: ElectorateMember;
    status: DatabaseStatus | undefined;
    /** The database neither confirms nor acknowledges commits: a paused replica, or a primary that has stepped down. */
    stopped = false;
    /** No process listens at the database's address. */
    hasNoListener = false;
    private readonly options: FencedDatabaseOptions;
    private linkId: string | undefined;
    private isOpen = false;
    /** A command that was sent and is not answered yet. */
    private pending: LinkCommand | undefined;
    /** Time at which the connection was requested or the pending command sent. */
    private requestedAtMs = 0;
    private retryAtMs = 0;
    /** Pauses that the database has answered without stopping; it knows a higher term than this process. */
    private refusedPauses = 0;

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
        this.pending = undefined;
        this.retryAtMs = nowMs + retryDelayMs;
        const { status } = reply;
        if (reply.fault !== undefined || status === undefined) {
            return;
        }
        this.status = status;
        if (status.leads) {
            this.stopped = false;
        }
        else if (command?.kind === LinkCommandKind.StepDown) {
            this.stopped = true;
        }
        else if (command?.kind === LinkCommandKind.Pause) {
            this.stopped = status.heldTerm >= command.term;
            this.refusedPauses += this.stopped ? 0 : 1;
        }
    }

    linkLost({ loss }: LinkLost, nowMs: number): void {
        this.linkId = undefined;
        this.isOpen = false;
        this.pending = undefined;
        this.retryAtMs = nowMs + retryDelayMs;
        this.hasNoListener = loss === LinkLoss.NoListener;
        // The database may have started again, and then it receives again, or leads again.
        this.stopped = false;
        this.status = this.status === undefined ? undefined : { ...this.status, leads: false };
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
            return nowMs - this.requestedAtMs < answerTimeoutMs ? [] : this.reconnect(nowMs);
        }
        if (command === undefined) {
            return [];
        }
        this.pending = command;
        this.requestedAtMs = nowMs;
        return [sendCommand(this.linkId, command)];
    }

    resume(): readonly Message[] {
        return this.isOpen ? [sendCommand(this.linkId!, { kind: LinkCommandKind.Resume })] : [];
    }

    close(): readonly Message[] {
        return this.linkId === undefined ? [] : [{ kind: LinkKind.Close, linkId: this.linkId } as Message];
    }

    private reconnect(nowMs: number): readonly Message[] {
        const closed = this.close();
        this.isOpen = false;
        this.pending = undefined;
        this.stopped = false;
        return [...closed, ...this.connect(nowMs)];
    }

    private connect(nowMs: number): readonly Message[] {
        const { databaseId, address } = this.member;
        this.linkId = this.options.nextLinkId();
        this.requestedAtMs = nowMs;
        const { service } = this.options;
        return [{ kind: LinkKind.Open, linkId: this.linkId, address, service, workspace: "", databaseId } as Message];
    }
}

function sendCommand(linkId: string, command: LinkCommand): Message {
    return { kind: LinkKind.Send, linkId, commands: [command] } as Message;
}
