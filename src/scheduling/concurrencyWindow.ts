/** Limits of the number of statements in flight at a server. */

/** How one statement, or the opening of a connection, has ended. */
export interface ServerAnswer {
    /** Kind of work; latencies are compared only within a kind. The number of kinds must stay small. */
    readonly workKind: string;
    readonly latencyMs: number;
    readonly startedMs: number;
    /** Number in flight when it started, including itself. */
    readonly inFlightAtStart: number;
    /** Number in flight just before it ended, including itself. */
    readonly inFlight: number;
}

export const WindowPhase = {
    /** The server has started, or has failed to answer; the window doubles while its answers stay quick. */
    Starting: "starting",
    /** The window follows the latency. */
    Steady: "steady",
    /** The server rejects so much that the window is as small as it gets. */
    Minimum: "minimum",
} as const;
export type WindowPhase = typeof WindowPhase[keyof typeof WindowPhase];

export interface ConcurrencyWindow {
    /** Number of statements that may be in flight. */
    readonly size: number;
    /** Number that the server is expected to bear soon; above `size` while the window starts. */
    readonly expectedSize: number;
    readonly phase: WindowPhase;
    /** Number of statements that the server says it runs at once. */
    setSlots(slots: number): void;
    /** The server has started, come back, or taken another role: what was learned about it may be wrong. */
    restart(nowMs: number): void;
    recordAnswer(answer: ServerAnswer): void;
    /** The server rejected something because it has too much to do; `startedMs` as in `ServerAnswer`. */
    recordRejection(startedMs: number, nowMs: number): void;
    /** The server did not answer, or the connection broke. */
    recordFailure(startedMs: number, nowMs: number): void;
}

/** Number of probes with which a window starts. */
const minimumSize = 2;

/** Ratio of the window that a start aims at to the slots; a statement needs its slot only for a part of its time. */
export const targetPerSlot = 2;

/** Latency may rise to this multiple of its best before the window shrinks. */
const latencyTolerance = 1.5;

/** A start ends when latencies exceed this multiple of their best. */
const startTolerance = 3;

/** The window shrinks at most to this share by latency in one step. */
const minimumGradient = 0.5;

/**
 * With at most so many in flight a latency counts as one without load. The window stays at least this large while only
 * the latency shrinks it, so that the best latency is measured anew on a server that has turned slow.
 */
const lightLoad = 4;

const rejectionFactor = 0.75;
const failureFactor = 0.5;

/** Weight of the newest answer in the window, and in the moving averages of latencies and of their ratio to the best. */
const windowSmoothing = 0.2;
const latencySmoothing = 0.1;
const ratioSmoothing = 0.15;

/** Latencies below this are equal as far as load is concerned. */
const latencyResolutionMs = 2;

/**
 * Follows the gradient of the latency: the ratio of the latency without load to the present one, which is measured anew
 * whenever few statements are in flight. A window that is not used does not change.
 */
export class GradientWindow implements ConcurrencyWindow {
    private slots: number;
    private exactSize = minimumSize;
    private starting = true;
    private shrunkToMinimum = false;
    /** Work that was started before the last decrease does not decrease the window again. */
    private decreasedAtMs = -Infinity;
    /** Moving average of latencies of answers that met little load, by kind of work. */
    private readonly bestMs = new Map<string, number>();
    /** Moving average of the ratio of latencies to the best ones. */
    private latencyRatio = 1;

    constructor(slots: number) {
        this.slots = normalizeSlots(slots);
    }

    get size(): number {
        return Math.floor(this.exactSize);
    }

    get expectedSize(): number {
        return this.starting ? Math.max(this.size, this.targetSize) : this.size;
    }

    get phase(): WindowPhase {
        if (this.starting) {
            return WindowPhase.Starting;
        }
        return this.shrunkToMinimum ? WindowPhase.Minimum : WindowPhase.Steady;
    }

    setSlots(slots: number): void {
        this.slots = normalizeSlots(slots);
    }

    restart(nowMs: number): void {
        this.exactSize = minimumSize;
        this.starting = true;
        this.shrunkToMinimum = false;
        this.decreasedAtMs = nowMs;
        this.bestMs.clear();
        this.latencyRatio = 1;
    }

    recordAnswer(answer: ServerAnswer): void {
        this.recordLatency(answer);
        if (this.starting) {
            this.growFromStart();
        }
        else if (2 * answer.inFlight >= this.size) {
            this.followLatency();
        }
        if (this.exactSize >= this.slots) {
            this.shrunkToMinimum = false;
        }
    }

    recordRejection(startedMs: number, nowMs: number): void {
        this.starting = false;
        this.decrease(rejectionFactor, startedMs, nowMs);
    }

    recordFailure(startedMs: number, nowMs: number): void {
        this.decrease(failureFactor, startedMs, nowMs);
        if (this.size === minimumSize) {
            this.starting = true;
            this.shrunkToMinimum = false;
        }
    }

    private get targetSize(): number {
        return targetPerSlot * this.slots;
    }

    private recordLatency({ workKind, latencyMs, inFlightAtStart }: ServerAnswer): void {
        const boundedMs = Math.max(latencyResolutionMs, latencyMs);
        const bestMs = this.bestMs.get(workKind);
        if (bestMs === undefined) {
            this.bestMs.set(workKind, boundedMs);
            return;
        }
        if (inFlightAtStart <= lightLoad) {
            this.bestMs.set(workKind, bestMs + latencySmoothing * (boundedMs - bestMs));
        }
        this.latencyRatio += ratioSmoothing * (boundedMs / bestMs - this.latencyRatio);
    }

    /** One more for each answer doubles the window with each round of answers. */
    private growFromStart(): void {
        if (this.latencyRatio > startTolerance) {
            this.starting = false;
            return;
        }
        this.exactSize += 1;
        if (this.exactSize >= this.targetSize) {
            this.starting = false;
        }
    }

    private followLatency(): void {
        const gradient = Math.min(1, Math.max(minimumGradient, latencyTolerance / this.latencyRatio));
        const headroom = Math.sqrt(this.exactSize);
        const wanted = gradient * this.exactSize + headroom;
        this.exactSize = Math.max(minimumSize, this.exactSize + windowSmoothing * (wanted - this.exactSize));
    }

    private decrease(factor: number, startedMs: number, nowMs: number): void {
        if (startedMs <= this.decreasedAtMs) {
            return;
        }
        this.decreasedAtMs = nowMs;
        this.exactSize = Math.max(minimumSize, factor * this.exactSize);
        this.shrunkToMinimum = this.size === minimumSize;
    }
}

/** A report may name any number of slots. */
export function normalizeSlots(slots: number): number {
    return Number.isFinite(slots) ? Math.min(Math.max(1, Math.floor(slots)), maximumSlots) : 1;
}

const maximumSlots = 1_000;
