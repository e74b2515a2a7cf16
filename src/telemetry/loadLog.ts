/** What a process spends: messages and bytes to and from its peers, and time of the loop, by kind, in one line at intervals. */
import { FleetKind, type FrameReceived } from "../model/fleetMessages.ts";
import type { LoopObserver } from "../pipeline/eventLoop.ts";
import type { Message } from "../pipeline/message.ts";
import type { Logger } from "./logger.ts";

/** Time between two lines; a choked link or a busy loop lasts longer, and the lines of a fleet stay few. */
const intervalMs = 5_000;

/** Time of one event above which it gets a line of its own; elections and time limits of peers begin at a few times that. */
const stallMs = 100;

/** Kinds and peers that one line names; the largest come first. */
const shownEntries = 6;

/** Counts messages between this process and its peers. */
export interface PeerTraffic {
    /** @param bytes of the body, without framing */
    sent(kind: string, bytes: number, peer: string): void;
    /** @param bytes of the body, without framing */
    received(kind: string, bytes: number, peer: string): void;
}

interface Sum {
    count: number;
    amount: number;
}

export class LoadLog implements LoopObserver, PeerTraffic, AsyncDisposable {
    private readonly logger: Logger;
    private readonly timer: NodeJS.Timeout;
    private readonly sentByKind = new Map<string, Sum>();
    private readonly receivedByKind = new Map<string, Sum>();
    private readonly bytesByPeer = new Map<string, Sum>();
    private readonly busyByKind = new Map<string, Sum>();

    constructor(logger: Logger) {
        this.logger = logger;
        this.timer = setInterval(() => this.write(), intervalMs).unref();
    }

    event(): void {
        // The time of an event is known when it has been processed.
    }

    output(): void {
        // Outputs are part of the time of their event.
    }

    processed(message: Message, elapsedMs: number): void {
        const kind = describe(message);
        add(this.busyByKind, kind, elapsedMs);
        if (elapsedMs >= stallMs) {
            this.logger.warn("loop_stalled", { kind, elapsedMs: Math.round(elapsedMs) });
        }
    }

    sent(kind: string, bytes: number, peer: string): void {
        add(this.sentByKind, kind, bytes);
        add(this.bytesByPeer, peer, bytes);
    }

    received(kind: string, bytes: number, peer: string): void {
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
                sentBytes: takeLargest(this.sentByKind),
                receivedBytes: takeLargest(this.receivedByKind),
                peerBytes: takeLargest(this.bytesByPeer),
                busyMs: takeLargest(this.busyByKind),
            });
        }
    }
}

/** Frames differ much in what they cost, so they are told apart. */
function describe(message: Message): string {
    return message.kind === FleetKind.FrameReceived
        ? `${message.kind}/${(message as FrameReceived).frame.kind}`
        : message.kind;
}

function add(sums: Map<string, Sum>, key: string, amount: number): void {
    const sum = sums.get(key);
    if (sum === undefined) {
        sums.set(key, { count: 1, amount });
    }
    else {
        sum.count += 1;
        sum.amount += amount;
    }
}

/** The largest entries and the total as `key=amount/count`; clears the sums. */
function takeLargest(sums: Map<string, Sum>): string {
    const total: Sum = { count: 0, amount: 0 };
    sums.forEach(({ count, amount }) => {
        total.count += count;
        total.amount += amount;
    });
    const shown = [...sums].sort(([, left], [, right]) => right.amount - left.amount).slice(0, shownEntries);
    sums.clear();
    return [["total", total] as const, ...shown].map(([key, { count, amount }]) =>
        `${key}=${Math.round(amount)}/${count}`
    )
        .join(" ");
}
