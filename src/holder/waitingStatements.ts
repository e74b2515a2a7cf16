/** Statements that wait on one database, with their wait timers. */
import type { HolderRequest } from "../model/holderMessages.ts";
import { HolderPipeKind, type HolderTimer } from "../model/holderPipeMessages.ts";
import { StatementKind } from "../model/statement.ts";
import { type ClearDeadline, clearDeadline, type SetDeadline, setDeadline } from "../pipeline/deadlineQueue.ts";
import { requestKey, sessionKeyOf } from "./answers.ts";
import { StatementQueue } from "./statementQueue.ts";

export class WaitingStatements {
    private readonly reads = new StatementQueue();
    /** Statements that may wait for a lock of the database while they hold a slot. */
    private readonly nonReads = new StatementQueue();
    /** Statements of sessions that keep a connection; they run first because they block it. */
    private readonly pinned: HolderRequest[] = [];
    private readonly byKey = new Map<string, HolderRequest>();

    add(request: HolderRequest, costMs: number): SetDeadline {
        this.queueOf(request).enqueue(request, costMs);
        return this.register(request);
    }

    /** Adds a statement whose session keeps a connection. */
    addPinned(request: HolderRequest): SetDeadline {
        this.pinned.push(request);
        return this.register(request);
    }

    /** The first statement of a session with a connection for which `canRun` holds; it stays in the queue. */
    findPinned(canRun: (request: HolderRequest) => boolean): HolderRequest | undefined {
        return this.pinned.find(canRun);
    }

    /** Removes and returns the statement that runs next on a connection without an owner. */
    dequeue(allowed: { readonly nonReads: boolean; }): HolderRequest | undefined {
        const nonReadFirst = allowed.nonReads && this.nonReads.nextDeadlineMs <= this.reads.nextDeadlineMs;
        return nonReadFirst ? this.nonReads.dequeue() : this.reads.dequeue();
    }

    /** Removes a statement and its timer. */
    remove(request: HolderRequest): ClearDeadline {
        const key = requestKey(request);
        const index = this.pinned.indexOf(request);
        if (index >= 0) {
            this.pinned.splice(index, 1);
        }
        else {
            this.queueOf(request).remove(request);
        }
        this.byKey.delete(key);
        return clearDeadline(`holder.wait:${key}`);
    }

    get(key: string): HolderRequest | undefined {
        return this.byKey.get(key);
    }

    ofSession(session: string): readonly HolderRequest[] {
        return this.all.filter(request => sessionKeyOf(request) === session);
    }

    costAheadMs(request: HolderRequest): number {
        return this.reads.costAheadMs(request) + this.nonReads.costAheadMs(request);
    }

    get all(): readonly HolderRequest[] {
        return [...this.byKey.values()];
    }

    get isEmpty(): boolean {
        return this.byKey.size === 0;
    }

    private queueOf(request: HolderRequest): StatementQueue {
        return request.statementKind === StatementKind.Read ? this.reads : this.nonReads;
    }

    private register(request: HolderRequest): SetDeadline {
        const key = requestKey(request);
        this.byKey.set(key, request);
        const due: HolderTimer = { kind: HolderPipeKind.WaitDue, subject: key };
        return setDeadline(`holder.wait:${key}`, request.deadlineMs, due);
    }
}
