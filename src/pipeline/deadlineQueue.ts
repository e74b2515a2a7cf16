/** The timers of an event loop: messages set and clear deadlines, and a priority queue holds them. */
import type { Message } from "./message.ts";

export const DeadlineKind = {
    Set: "deadline.set",
    Clear: "deadline.clear",
} as const;

/** Requests that `message` is posted at `atMs`. A deadline set under the same key before is replaced. */
export interface SetDeadline extends Message {
    readonly kind: typeof DeadlineKind.Set;
    readonly key: string;
    readonly atMs: number;
    readonly message: Message;
}

export interface ClearDeadline extends Message {
    readonly kind: typeof DeadlineKind.Clear;
    readonly key: string;
}

export type DeadlineMessage = SetDeadline | ClearDeadline;

export function setDeadline(key: string, atMs: number, message: Message): SetDeadline {
    return { kind: DeadlineKind.Set, key, atMs, message };
}

export function clearDeadline(key: string): ClearDeadline {
    return { kind: DeadlineKind.Clear, key };
}

interface Entry {
    readonly key: string;
    readonly atMs: number;
    /** Orders entries with equal times by when they were set. */
    readonly sequence: number;
    readonly message: Message;
}

/** A binary heap with lazy deletion: replaced and cleared entries are discarded when they reach the top. */
export class DeadlineQueue {
    private heap: Entry[] = [];
    private readonly entriesByKey = new Map<string, Entry>();
    private nextSequence = 0;

    apply(message: DeadlineMessage): void {
        if (message.kind === DeadlineKind.Clear) {
            this.entriesByKey.delete(message.key);
        }
        else {
            const entry = {
                key: message.key,
                atMs: message.atMs,
                sequence: this.nextSequence++,
                message: message.message,
            };
            this.entriesByKey.set(message.key, entry);
            this.insert(entry);
        }
        this.compactWhenSparse();
    }

    /** Time of the earliest deadline, or undefined if none is set. */
    earliestAtMs(): number | undefined {
        this.removeStaleEntries();
        return this.heap[0]?.atMs;
    }

    /** Removes and returns the message of the earliest deadline at or before `nowMs`. */
    popDue(nowMs: number): Message | undefined {
        this.removeStaleEntries();
        const first = this.heap[0];
        if (first === undefined || first.atMs > nowMs) {
            return undefined;
        }
        this.removeFirst();
        this.entriesByKey.delete(first.key);
        return first.message;
    }

    get size(): number {
        return this.entriesByKey.size;
    }

    private removeStaleEntries(): void {
        while (this.heap.length > 0 && this.entriesByKey.get(this.heap[0]!.key) !== this.heap[0]) {
            this.removeFirst();
        }
    }

    // Otherwise a key that is set again on every heartbeat would leave a stale entry behind each time.
    private compactWhenSparse(): void {
        if (this.heap.length > 64 && this.heap.length > 2 * this.entriesByKey.size) {
            this.heap = [...this.entriesByKey.values()].sort(compareEntries);
        }
    }

    private insert(entry: Entry): void {
        let index = this.heap.push(entry) - 1;
        while (index > 0) {
            const parent = (index - 1) >> 1;
            if (compareEntries(this.heap[parent]!, entry) <= 0) {
                break;
            }
            this.heap[index] = this.heap[parent]!;
            index = parent;
        }
        this.heap[index] = entry;
    }

    private removeFirst(): void {
        const last = this.heap.pop()!;
        if (this.heap.length === 0) {
            return;
        }
        let index = 0;
        for (;;) {
            const child = this.smallerChild(index);
            if (child === undefined || compareEntries(last, this.heap[child]!) <= 0) {
                break;
            }
            this.heap[index] = this.heap[child]!;
            index = child;
        }
        this.heap[index] = last;
    }

    private smallerChild(index: number): number | undefined {
        const left = 2 * index + 1;
        if (left >= this.heap.length) {
            return undefined;
        }
        const right = left + 1;
        return right < this.heap.length && compareEntries(this.heap[right]!, this.heap[left]!) < 0 ? right : left;
    }
}

function compareEntries(left: Entry, right: Entry): number {
    return left.atMs - right.atMs || left.sequence - right.sequence;
}
