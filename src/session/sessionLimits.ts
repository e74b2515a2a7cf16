/** Limits on the memory that callers can take up, and the account of what their sessions keep. */
import type { SessionOpened } from "../model/sessionMessages.ts";
import type { SessionStatement } from "../model/sessionStatement.ts";

export interface SessionLimits {
    /** Session variables of one session, and as many prepared statements. */
    readonly maximumNames: number;
    /** Session variables and prepared statements of one session. */
    readonly contextBytes: number;
    /** Statements of one session that wait for the answer to an earlier one. */
    readonly queuedStatements: number;
    readonly queuedBytes: number;
    /** All that the sessions of the process keep, statements that run included. */
    readonly totalBytes: number;
    /** What a session may keep and run although the total is reached, so that large callers cannot stop small ones. */
    readonly guaranteedBytes: number;
}

/** Memory of an entry of a map or a queue besides its text; an estimate. */
const entryBytes = 128;

/** An entry with a text of the maximum size of a message. */
const largestEntryBytes = 1_048_576 + entryBytes;

export const defaultSessionLimits: SessionLimits = {
    maximumNames: 256,
    // Two values of the maximum size of a message.
    contextBytes: 2 * largestEntryBytes,
    queuedStatements: 64,
    // Two statements of the maximum size of a message.
    queuedBytes: 2 * largestEntryBytes,
    // A third of the heap of a small process; links, buffers of sockets and the policy need the rest.
    totalBytes: 48 * 1_048_576,
    guaranteedBytes: 4_096,
};

/** Bytes that a session keeps for as long as it is open, its own overhead apart. */
export function openingBytes({ database, key }: SessionOpened): number {
    return database.length + key.length;
}

export function contextEntryBytes(name: string, value: string): number {
    return name.length + value.length + entryBytes;
}

export function statementBytes(statement: SessionStatement | undefined): number {
    return (statement === undefined ? 0 : statement.id.length + statement.text.length) + entryBytes;
}

/**
 * Returns a copy that does not keep the text alive from which it was cut. A short part of a large message would
 * otherwise hold all of that message in memory.
 */
export function detachText(text: string): string {
    return JSON.parse(JSON.stringify(text)) as string;
}

/** Account of the bytes that the sessions of a process keep. */
export class SessionMemory {
    private readonly limits: SessionLimits;
    private readonly bytesBySession = new Map<string, number>();
    private total = 0;

    constructor(limits: SessionLimits) {
        this.limits = limits;
    }

    get totalBytes(): number {
        return this.total;
    }

    /** Adds bytes to what a session keeps. Returns false and adds nothing if the total would exceed its limit. */
    tryAdd(sessionId: string, bytes: number): boolean {
        const ownBytes = (this.bytesBySession.get(sessionId) ?? 0) + bytes;
        if (bytes > 0 && ownBytes > this.limits.guaranteedBytes && this.total + bytes > this.limits.totalBytes) {
            return false;
        }
        this.add(sessionId, bytes);
        return true;
    }

    /** Adds bytes whatever the total is; a negative number releases them. */
    add(sessionId: string, bytes: number): void {
        this.bytesBySession.set(sessionId, (this.bytesBySession.get(sessionId) ?? 0) + bytes);
        this.total += bytes;
    }

    /** Releases all that a session keeps. */
    releaseSession(sessionId: string): void {
        this.total -= this.bytesBySession.get(sessionId) ?? 0;
        this.bytesBySession.delete(sessionId);
    }
}
