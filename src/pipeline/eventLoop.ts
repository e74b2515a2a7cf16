/** The one loop: drains the event queue through the pipes and hands what leaves them to the sinks. */
import { DeadlineKind, type DeadlineMessage, DeadlineQueue } from "./deadlineQueue.ts";
import type { Message } from "./message.ts";
import type { Pipe } from "./pipe.ts";
import type { Sink } from "./sink.ts";

/** What the loop needs of the platform. Tests pass virtual time. */
export interface Clock {
    /** Monotonic milliseconds; never falls. */
    nowMs(): number;
    /** Calls `run` once, as soon as the caller has returned. */
    soon(run: () => void): void;
    /** Calls `run` once at `atMs` or later; a later call replaces an earlier one. */
    wakeAt(atMs: number, run: () => void): void;
    /** Drops the pending wake-up. */
    cancelWake(): void;
}

/** Sees each event before it is processed, and each message that leaves a pipe; used for traces and counters. */
export interface LoopObserver {
    event(message: Message, nowMs: number): void;
    output(message: Message, pipe: string, nowMs: number): void;
    /** Called when an event has been processed, with the time that it took. */
    processed?(message: Message, elapsedMs: number): void;
}

export interface EventLoopOptions {
    readonly clock: Clock;
    readonly pipes: readonly Pipe[];
    readonly sinks: readonly Sink[];
    readonly observers?: readonly LoopObserver[];
}

interface QueuedEvent {
    readonly message: Message;
    /** The message left a pipe before, and the sinks that accept it have had it. */
    readonly delivered: boolean;
}

export class EventLoop implements AsyncDisposable {
    private readonly clock: Clock;
    private readonly deadlines = new DeadlineQueue();
    private readonly pipesByKind = new Map<string, Pipe[]>();
    private readonly sinksByKind = new Map<string, Sink[]>();
    private readonly observers: readonly LoopObserver[];
    /** Observers that want to know how long events take. */
    private readonly timing: readonly LoopObserver[];
    private queue: QueuedEvent[] = [];
    private draining = false;
    private drainRequested = false;
    private closed = false;
    private lastMs = 0;

    constructor(options: EventLoopOptions) {
        this.clock = options.clock;
        this.observers = options.observers ?? [];
        this.timing = this.observers.filter(observer => observer.processed !== undefined);
        for (const pipe of options.pipes) {
            addToEach(this.pipesByKind, [...pipe.accepts], pipe);
        }
        for (const sink of options.sinks) {
            addToEach(this.sinksByKind, sink.accepts, sink);
        }
    }

    /** Adds an event. It is processed after all events posted before it, never inside the caller's stack. */
    post(message: Message): void {
        if (this.closed) {
            return;
        }
        this.queue.push({ message, delivered: false });
        if (!this.draining && !this.drainRequested) {
            this.drainRequested = true;
            this.clock.soon(() => this.drain());
        }
    }

    /** Deadlines set and events queued at present. */
    get pending(): { readonly events: number; readonly deadlines: number; } {
        return { events: this.queue.length, deadlines: this.deadlines.size };
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.closed = true;
        this.queue = [];
        this.clock.cancelWake();
    }

    private drain(): void {
        this.drainRequested = false;
        this.draining = true;
        try {
            this.drainQueue();
        }
        finally {
            this.draining = false;
        }
        this.sleepUntilDeadline();
    }

    private drainQueue(): void {
        this.postDue();
        while (this.queue.length > 0 && !this.closed) {
            const batch = this.queue;
            this.queue = [];
            batch.forEach(event => this.observe(event));
            this.postDue();
        }
    }

    private postDue(): void {
        const nowMs = this.currentMs();
        for (let due = this.deadlines.takeDue(nowMs); due !== undefined; due = this.deadlines.takeDue(nowMs)) {
            this.queue.push({ message: due, delivered: false });
        }
    }

    private observe(event: QueuedEvent): void {
        const startMs = this.currentMs();
        this.dispatch(event, startMs);
        if (this.timing.length > 0) {
            const elapsedMs = this.currentMs() - startMs;
            this.timing.forEach(observer => observer.processed?.(event.message, elapsedMs));
        }
    }

    private dispatch({ message, delivered }: QueuedEvent, nowMs: number): void {
        this.observers.forEach(observer => observer.event(message, nowMs));
        const pipes = this.pipesByKind.get(message.kind) ?? [];
        if (pipes.length === 0 && !this.deliver(message, nowMs)) {
            throw new Error(`nothing takes "${message.kind}"; register a sink or a filter that accepts it`);
        }
        let arrived = delivered;
        for (const pipe of pipes) {
            for (const output of pipe.push(message, nowMs)) {
                this.observers.forEach(observer => observer.output(output, pipe.name, nowMs));
                if (output !== message) {
                    this.leavePipe(output, nowMs);
                }
                else if (!arrived) {
                    // An event that several pipes pass on unchanged reaches the sinks once and is not posted again.
                    arrived = true;
                    this.deliver(output, nowMs);
                }
            }
        }
    }

    private leavePipe(output: Message, nowMs: number): void {
        if (output.kind === DeadlineKind.Set || output.kind === DeadlineKind.Clear) {
            this.deadlines.apply(output as DeadlineMessage);
            return;
        }
        const delivered = this.deliver(output, nowMs);
        if (this.pipesByKind.has(output.kind)) {
            this.queue.push({ message: output, delivered });
        }
        else if (!delivered) {
            throw new Error(`nothing takes "${output.kind}"; register a sink or a filter that accepts it`);
        }
    }

    private deliver(message: Message, nowMs: number): boolean {
        const sinks = this.sinksByKind.get(message.kind);
        sinks?.forEach(sink => sink.deliver(message, nowMs));
        return sinks !== undefined;
    }

    private sleepUntilDeadline(): void {
        const earliestMs = this.deadlines.earliestMs();
        if (earliestMs === undefined || this.closed) {
            this.clock.cancelWake();
            return;
        }
        this.clock.wakeAt(earliestMs, () => this.drain());
    }

    private currentMs(): number {
        this.lastMs = Math.max(this.lastMs, this.clock.nowMs());
        return this.lastMs;
    }
}

function addToEach<Value>(map: Map<string, Value[]>, keys: readonly string[], value: Value): void {
    for (const key of new Set(keys)) {
        map.set(key, [...map.get(key) ?? [], value]);
    }
}
