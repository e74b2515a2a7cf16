/**
 * Queue of statements that wait for a slot of one database: earliest deadline first across work classes, fair between
 * the workspaces of a class.
 */
import type { HolderRequest } from "../model/holderMessages.ts";
import { FairQueue } from "../scheduling/fairQueue.ts";

export class WorkClassQueue {
    private readonly classes = new Map<string, FairQueue<HolderRequest>>();

    enqueue(request: HolderRequest, costMs: number): void {
        let queue = this.classes.get(request.workClass);
        if (queue === undefined) {
            queue = new FairQueue();
            this.classes.set(request.workClass, queue);
        }
        queue.enqueue(request.workspace, request, costMs);
    }

    /** Removes and returns the statement that runs next. */
    dequeue(): HolderRequest | undefined {
        let first: FairQueue<HolderRequest> | undefined;
        let firstDeadlineMs = Infinity;
        for (const queue of this.classes.values()) {
            const deadlineMs = queue.peek()?.deadlineMs ?? Infinity;
            if (deadlineMs < firstDeadlineMs) {
                first = queue;
                firstDeadlineMs = deadlineMs;
            }
        }
        const request = first?.dequeue();
        this.removeIfEmpty(request);
        return request;
    }

    /** Deadline of the statement that `dequeue` would return; Infinity when none waits. */
    get nextDeadlineMs(): number {
        return Math.min(Infinity, ...[...this.classes.values()].map(queue => queue.peek()?.deadlineMs ?? Infinity));
    }

    remove(request: HolderRequest): void {
        this.classes.get(request.workClass)?.remove(request.workspace, request);
        this.removeIfEmpty(request);
    }

    /** Estimates the service time of all statements that would run before `request` if it were added now. */
    costAheadMs(request: HolderRequest): number {
        let sumMs = 0;
        for (const [workClass, queue] of this.classes) {
            if (workClass === request.workClass) {
                sumMs += queue.costAheadMs(request.workspace);
            }
            else if ((queue.peek()?.deadlineMs ?? Infinity) <= request.deadlineMs) {
                sumMs += queue.totalCostMs;
            }
        }
        return sumMs;
    }

    /** Removes and returns all statements. */
    dequeueAll(): readonly HolderRequest[] {
        const requests = [...this.classes.values()].flatMap(queue => queue.items);
        this.classes.clear();
        return requests;
    }

    get isEmpty(): boolean {
        return this.classes.size === 0;
    }

    private removeIfEmpty(request: HolderRequest | undefined): void {
        if (request !== undefined && this.classes.get(request.workClass)?.peek() === undefined) {
            this.classes.delete(request.workClass);
        }
    }
}
