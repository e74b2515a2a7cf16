/** Statements that wait for one database, with their timeout timers. */
import type { HolderRequest } from "../model/holderMessages.ts";
import { HolderPipeKind, type HolderTimer } from "../model/holderPipeMessages.ts";
import { StatementKind } from "../model/statement.ts";
import { type ClearDeadline, clearDeadline, type SetDeadline, setDeadline } from "../pipeline/deadlineQueue.ts";
import { requestKey, sessionKeyOf } from "./answers.ts";
import { WorkClassQueue } from "./workClassQueue.ts";

export class WaitingStatements {
    private readonly reads = new WorkClassQueue();
    /** Statements other than reads, which may block on a database lock while they occupy a slot. */
    private readonly nonReads = new WorkClassQueue();
    /** Statements of sessions with a pinned connection. They run first, because only they can use that connection. */
    private readonly pinned: HolderRequest[] = [];
    private readonly byKey = new Map<string, HolderRequest>();

    add(request: HolderRequest, costMs: number): SetDeadline {
        this.queueOf(request).enqueue(request, costMs);
        return this.register(request);
    }

    /** Adds a statement whose session has a pinned connection. */
    addPinned(request: HolderRequest): SetDeadline {
        this.pinned.push(request);
        return this.register(request);
    }

    /** Returns the first statement of a pinned session for which `canRun` is true, without removing it. */
    findPinned(canRun: (request: HolderRequest) => boolean): HolderRequest | undefined {
        return this.pinned.find(canRun);
    }

    /** Removes the next statement for a connection without an owner from its queue; its timer stays until `remove`. */
    dequeue(allowed: { readonly nonReads: boolean; }): HolderRequest | undefined {
        const nonReadFirst = allowed.nonReads && this.nonReads.nextDeadlineMs <= this.reads.nextDeadlineMs;
        return nonReadFirst ? this.nonReads.dequeue() : this.reads.dequeue();
    }

    /** Removes a statement and clears its timer. */
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

    private queueOf(request: HolderRequest): WorkClassQueue {
        return request.statementKind === StatementKind.Read ? this.reads : this.nonReads;
    }

    private register(request: HolderRequest): SetDeadline {
        const key = requestKey(request);
        this.byKey.set(key, request);
        const due: HolderTimer = { kind: HolderPipeKind.WaitDue, subject: key };
        return setDeadline(`holder.wait:${key}`, request.deadlineMs, due);
    }
}
