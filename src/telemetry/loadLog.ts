/**
 * Periodic log line with the load of a process: messages and bytes exchanged with peers, and event loop time by kind. Lines
 * of their own for events that took long, and for times in which the process did not run.
 */
import { FleetKind, type FrameReceived } from "../model/fleetMessages.ts";
import { SchedulingKind, type SchedulingRefused } from "../model/schedulingMessages.ts";
import type { LoopObserver } from "../pipeline/eventLoop.ts";
import type { Message } from "../pipeline/message.ts";
import type { Logger } from "./logger.ts";

/** Short enough to show a congested connection or a busy event loop, long enough to keep the log of a fleet small. */
const intervalMs = 5_000;

/** Longer events are logged individually. Election timeouts and timeouts of peers start at a few times this value. */
const stallThresholdMs = 100;

/** Interval at which the process checks that it runs. */
const checkIntervalMs = 250;

/** Time beyond that interval from which the process stood still; half the time without contact that ends a lead. */
const standstillThresholdMs = 500;

/** Number of kinds or peers in each field, largest first. */
const maximumEntries = 6;

/** Records the messages that this process exchanges with its peers. */
export interface PeerTrafficObserver {
    /** @param bytes size of the body, without framing */
    recordSent(kind: string, bytes: number, peer: string): void;
    /** @param bytes size of the body, without framing */
    recordReceived(kind: string, bytes: number, peer: string): void;
}

interface Total {
    count: number;
    amount: number;
}

export class LoadLog implements LoopObserver, PeerTrafficObserver, AsyncDisposable {
    private readonly logger: Logger;
    private readonly timer: NodeJS.Timeout;
    private readonly standstillTimer: NodeJS.Timeout;
    private checkedAtMs = performance.now();
    private checkedProcessorMs = processorTimeMs();
    private readonly sentByKind = new Map<string, Total>();
    private readonly receivedByKind = new Map<string, Total>();
    private readonly bytesByPeer = new Map<string, Total>();
    private readonly busyMsByKind = new Map<string, Total>();
    /** Statements refused by the queues of databases, by reason and priority. */
    private readonly refusalsByReason = new Map<string, Total>();
    /** Processor time of the process at the time of the last line. */
    private loggedProcessorMs = 0;

    constructor(logger: Logger) {
        this.logger = logger;
        this.timer = setInterval(() => this.write(), intervalMs).unref();
        this.standstillTimer = setInterval(() => this.reportStandstill(), checkIntervalMs).unref();
    }

    onEvent(): void {
        // `onProcessed` records the event with its processing time.
    }

    onOutput(message: Message): void {
        if (message.kind === SchedulingKind.Refused) {
            const { reason, priority } = message as SchedulingRefused;
            add(this.refusalsByReason, `${reason}/${priority}`, 1);
        }
    }

    onProcessed(message: Message, elapsedMs: number): void {
        const kind = messageLabel(message);
        add(this.busyMsByKind, kind, elapsedMs);
        if (elapsedMs >= stallThresholdMs) {
            this.logger.warn("loop_stalled", { kind, elapsedMs: Math.round(elapsedMs) });
        }
    }

    recordSent(kind: string, bytes: number, peer: string): void {
        add(this.sentByKind, kind, bytes);
        add(this.bytesByPeer, peer, bytes);
    }

    recordReceived(kind: string, bytes: number, peer: string): void {
        add(this.receivedByKind, kind, bytes);
        add(this.bytesByPeer, peer, bytes);
    }

    async [Symbol.asyncDispose](): Promise<void> {
        clearInterval(this.timer);
        clearInterval(this.standstillTimer);
        this.write();
    }

    /** Little processor time tells that the machine did not run the process, or that it waited for the machine. */
    private reportStandstill(): void {
        const nowMs = performance.now();
        const processorMs = processorTimeMs();
        const stoodStillMs = nowMs - this.checkedAtMs - checkIntervalMs;
        if (stoodStillMs >= standstillThresholdMs) {
            this.logger.warn("process_stood_still", {
                stoodStillMs: Math.round(stoodStillMs),
                processorMs: Math.round(processorMs - this.checkedProcessorMs),
            });
        }
        this.checkedAtMs = nowMs;
        this.checkedProcessorMs = processorMs;
    }

    private write(): void {
        if (this.sentByKind.size + this.receivedByKind.size > 0) {
            const processorMs = processorTimeMs();
            this.logger.info("load", {
                intervalMs,
                processorMs: Math.round(processorMs - this.loggedProcessorMs),
                sentBytes: formatAndClear(this.sentByKind),
                receivedBytes: formatAndClear(this.receivedByKind),
                peerBytes: formatAndClear(this.bytesByPeer),
                busyMs: formatAndClear(this.busyMsByKind),
                ...(this.refusalsByReason.size === 0 ? {} : { refused: formatAndClear(this.refusalsByReason) }),
            });
            this.loggedProcessorMs = processorMs;
        }
    }
}

/** What the event loop does not account for is spent on streams, garbage collection and the start. */
function processorTimeMs(): number {
    const { user, system } = process.cpuUsage();
    return (user + system) / 1_000;
}

/** Kind of a message, for frames with the kind of the frame, because the costs of frames differ widely. */
function messageLabel(message: Message): string {
    return message.kind === FleetKind.FrameReceived
        ? `${message.kind}/${(message as FrameReceived).frame.kind}`
        : message.kind;
}

function add(totals: Map<string, Total>, key: string, amount: number): void {
    const total = totals.get(key);
    if (total === undefined) {
        totals.set(key, { count: 1, amount });
    }
    else {
        total.count += 1;
        total.amount += amount;
    }
}

/** Formats the total and the largest entries as `key=amount/count`, and clears the map. */
function formatAndClear(totals: Map<string, Total>): string {
    const total: Total = { count: 0, amount: 0 };
    totals.forEach(({ count, amount }) => {
        total.count += count;
        total.amount += amount;
    });
    const largest = [...totals].sort(([, left], [, right]) => right.amount - left.amount).slice(0, maximumEntries);
    totals.clear();
    return [["total", total] as const, ...largest].map(([key, { count, amount }]) =>
        `${key}=${Math.round(amount)}/${count}`
    )
        .join(" ");
}
