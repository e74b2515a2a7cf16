/** The event loop of a process: passes queued events through the pipes and delivers their outputs to the sinks. */
import { DeadlineKind, type DeadlineMessage, DeadlineQueue } from "./deadlineQueue.ts";
import type { Message } from "./message.ts";
import type { Pipe } from "./pipe.ts";
import type { Sink } from "./sink.ts";

/** Time source and scheduler of the event loop. Tests use a virtual clock. */
export interface Clock {
    /** Monotonic time in milliseconds. */
    nowMs(): number;
    /** Calls `callback` once, as soon as the current call stack has returned. */
    runSoon(callback: () => void): void;
    /** Calls `callback` once at `atMs` or later. Replaces a pending wake-up. */
    scheduleWakeUp(atMs: number, callback: () => void): void;
    /** Cancels the pending wake-up. */
    cancelWakeUp(): void;
}

/** Is notified of each event before it is processed and of each message that leaves a pipe. For traces and counters. */
export interface LoopObserver {
    onEvent(message: Message, nowMs: number): void;
    onOutput(message: Message, pipe: string, nowMs: number): void;
    /** Called after an event was processed, with the time that this took. */
    onProcessed?(message: Message, elapsedMs: number): void;
}

export interface EventLoopOptions {
    readonly clock: Clock;
    readonly pipes: readonly Pipe[];
    readonly sinks: readonly Sink[];
    readonly observers?: readonly LoopObserver[];
}

interface QueuedEvent {
    readonly message: Message;
    /** The message is the output of a pipe and was already delivered to the sinks that accept it. */
    readonly alreadyDelivered: boolean;
}

export class EventLoop implements AsyncDisposable {
    private readonly clock: Clock;
    private readonly deadlines = new DeadlineQueue();
    private readonly pipesByKind = new Map<string, Pipe[]>();
    private readonly sinksByKind = new Map<string, Sink[]>();
    private readonly observers: readonly LoopObserver[];
    /** Observers that implement `onProcessed`; without any, processing times are not measured. */
    private readonly timingObservers: readonly LoopObserver[];
    private queue: QueuedEvent[] = [];
    private isRunning = false;
    private isRunScheduled = false;
    private closed = false;
    private lastNowMs = 0;

    constructor(options: EventLoopOptions) {
        this.clock = options.clock;
        this.observers = options.observers ?? [];
        this.timingObservers = this.observers.filter(observer => observer.onProcessed !== undefined);
        for (const pipe of options.pipes) {
            addForKeys(this.pipesByKind, [...pipe.accepts], pipe);
        }
        for (const sink of options.sinks) {
            addForKeys(this.sinksByKind, sink.accepts, sink);
        }
    }

    /** Enqueues an event. It is processed after all events posted before it, never inside the caller's stack. */
    post(message: Message): void {
        if (this.closed) {
            return;
        }
        this.queue.push({ message, alreadyDelivered: false });
        if (!this.isRunning && !this.isRunScheduled) {
            this.isRunScheduled = true;
            this.clock.runSoon(() => this.run());
        }
    }

    /** Current numbers of queued events and of set deadlines. */
    get queueSizes(): { readonly events: number; readonly deadlines: number; } {
        return { events: this.queue.length, deadlines: this.deadlines.size };
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.closed = true;
        this.queue = [];
        this.clock.cancelWakeUp();
    }

    private run(): void {
        this.isRunScheduled = false;
        this.isRunning = true;
        try {
            this.processQueue();
        }
        finally {
            this.isRunning = false;
        }
        this.scheduleNextWakeUp();
    }

    private processQueue(): void {
        this.enqueueDueMessages();
        while (this.queue.length > 0 && !this.closed) {
            const batch = this.queue;
            this.queue = [];
            batch.forEach(event => this.processEvent(event));
            this.enqueueDueMessages();
        }
    }

    private enqueueDueMessages(): void {
        const nowMs = this.monotonicNowMs();
        for (let due = this.deadlines.popDue(nowMs); due !== undefined; due = this.deadlines.popDue(nowMs)) {
            this.queue.push({ message: due, alreadyDelivered: false });
        }
    }

    private processEvent(event: QueuedEvent): void {
        const startMs = this.monotonicNowMs();
        this.dispatch(event, startMs);
        if (this.timingObservers.length > 0) {
            const elapsedMs = this.monotonicNowMs() - startMs;
            this.timingObservers.forEach(observer => observer.onProcessed?.(event.message, elapsedMs));
        }
    }

    private dispatch({ message, alreadyDelivered }: QueuedEvent, nowMs: number): void {
        this.observers.forEach(observer => observer.onEvent(message, nowMs));
        const pipes = this.pipesByKind.get(message.kind) ?? [];
        if (pipes.length === 0 && !this.deliverToSinks(message, nowMs)) {
            throw new Error(`no pipe or sink accepts "${message.kind}"; register a sink or a filter for it`);
        }
        let hasReachedSinks = alreadyDelivered;
        for (const pipe of pipes) {
            for (const output of pipe.process(message, nowMs)) {
                this.observers.forEach(observer => observer.onOutput(output, pipe.name, nowMs));
                if (output !== message) {
                    this.handleOutput(output, nowMs);
                }
                else if (!hasReachedSinks) {
                    // An event that several pipes return unchanged reaches the sinks once and is not queued again.
                    hasReachedSinks = true;
                    this.deliverToSinks(output, nowMs);
                }
            }
        }
    }

    private handleOutput(output: Message, nowMs: number): void {
        if (output.kind === DeadlineKind.Set || output.kind === DeadlineKind.Clear) {
            this.deadlines.apply(output as DeadlineMessage);
            return;
        }
        const delivered = this.deliverToSinks(output, nowMs);
        if (this.pipesByKind.has(output.kind)) {
            this.queue.push({ message: output, alreadyDelivered: delivered });
        }
        else if (!delivered) {
            throw new Error(`no pipe or sink accepts "${output.kind}"; register a sink or a filter for it`);
        }
    }

    private deliverToSinks(message: Message, nowMs: number): boolean {
        const sinks = this.sinksByKind.get(message.kind);
        sinks?.forEach(sink => sink.deliver(message, nowMs));
        return sinks !== undefined;
    }

    private scheduleNextWakeUp(): void {
        const earliestAtMs = this.deadlines.earliestAtMs();
        if (earliestAtMs === undefined || this.closed) {
            this.clock.cancelWakeUp();
            return;
        }
        this.clock.scheduleWakeUp(earliestAtMs, () => this.run());
    }

    private monotonicNowMs(): number {
        this.lastNowMs = Math.max(this.lastNowMs, this.clock.nowMs());
        return this.lastNowMs;
    }
}

function addForKeys<Value>(map: Map<string, Value[]>, keys: readonly string[], value: Value): void {
    for (const key of new Set(keys)) {
        map.set(key, [...map.get(key) ?? [], value]);
    }
}
