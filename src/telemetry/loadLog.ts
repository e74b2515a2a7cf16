/** What a process spends: messages and bytes to and from its peers, and time of the loop, by kind, in one line at intervals. */
import { FleetKind, type FrameReceived } from "../model/fleetMessages.ts";
import type { LoopObserver } from "../pipeline/eventLoop.ts";
import type { Message } from "../pipeline/message.ts";
import type { Logger } from "./logger.ts";

/** Time between two lines; a choked link or a busy loop lasts longer, and the lines of a fleet stay few. */
const intervalMs = 5_000;

/** Time of one event above which it gets a line of its own; elections and time limits of peers begin at a few times that. */
const stallThresholdMs = 100;

/** Kinds and peers that one line names; the largest come first. */
const maximumEntries = 6;

/** Counts messages between this process and its peers. */
export interface PeerTrafficObserver {
    /** @param bytes of the body, without framing */
    recordSent(kind: string, bytes: number, peer: string): void;
    /** @param bytes of the body, without framing */
    recordReceived(kind: string, bytes: number, peer: string): void;
}

interface Total {
    count: number;
    amount: number;
}

export class LoadLog implements LoopObserver, PeerTrafficObserver, AsyncDisposable {
    private readonly logger: Logger;
    private readonly timer: NodeJS.Timeout;
    private readonly sentByKind = new Map<string, Total>();
    private readonly receivedByKind = new Map<string, Total>();
    private readonly bytesByPeer = new Map<string, Total>();
    private readonly busyMsByKind = new Map<string, Total>();

    constructor(logger: Logger) {
        this.logger = logger;
        this.timer = setInterval(() => this.write(), intervalMs).unref();
    }

    onEvent(): void {
        // The time of an event is known when it has been processed.
    }

    onOutput(): void {
        // Outputs are part of the time of their event.
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
        this.write();
    }

    private write(): void {
        if (this.sentByKind.size + this.receivedByKind.size > 0) {
            this.logger.info("load", {
                intervalMs,
                sentBytes: formatAndClear(this.sentByKind),
                receivedBytes: formatAndClear(this.receivedByKind),
                peerBytes: formatAndClear(this.bytesByPeer),
                busyMs: formatAndClear(this.busyMsByKind),
            });
        }
    }
}

/** Frames differ much in what they cost, so they are told apart. */
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

/** The largest entries and the total as `key=amount/count`; clears the sums. */
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
