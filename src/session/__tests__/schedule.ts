/** Runs the events of many instances in order on one virtual clock. */

interface Event {
    readonly atMs: number;
    readonly order: number;
    readonly run: () => void;
}

export class Schedule {
    nowMs = 0;
    private readonly heap: Event[] = [];
    private nextOrder = 0;

    at(atMs: number, run: () => void): void {
        const event = { atMs: Math.max(atMs, this.nowMs), order: this.nextOrder++, run };
        let index = this.heap.push(event) - 1;
        while (index > 0 && before(event, this.heap[(index - 1) >> 1]!)) {
            this.heap[index] = this.heap[(index - 1) >> 1]!;
            index = (index - 1) >> 1;
        }
        this.heap[index] = event;
    }

    after(delayMs: number, run: () => void): void {
        this.at(this.nowMs + delayMs, run);
    }

    advanceTo(untilMs: number): void {
        while (this.heap.length > 0 && this.heap[0]!.atMs <= untilMs) {
            const event = this.removeFirst();
            this.nowMs = event.atMs;
            event.run();
        }
        this.nowMs = untilMs;
    }

    private removeFirst(): Event {
        const first = this.heap[0]!;
        const last = this.heap.pop()!;
        if (this.heap.length === 0) {
            return first;
        }
        let index = 0;
        for (;;) {
            const left = 2 * index + 1;
            const right = left + 1;
            if (left >= this.heap.length) {
                break;
            }
            const child = right < this.heap.length && before(this.heap[right]!, this.heap[left]!) ? right : left;
            if (before(last, this.heap[child]!)) {
                break;
            }
            this.heap[index] = this.heap[child]!;
            index = child;
        }
        this.heap[index] = last;
        return first;
    }
}

function before(left: Event, right: Event): boolean {
    return left.atMs < right.atMs || left.atMs === right.atMs && left.order < right.order;
}
