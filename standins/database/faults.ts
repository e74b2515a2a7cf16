/** Faults that a test switches on from outside. */

export const Fault = {
    /** Answers nothing, on existing connections and on new ones. */
    Pause: "pause",
    /** Connections open now go silent for good; new ones work. */
    Silence: "silence",
    Lag: "lag",
    /** Closes every connection. */
    Drop: "drop",
    Refuse: "refuse",
    /** Sets the service time of a statement. */
    Slow: "slow",
    /** Ends replication and announcements. */
    Cut: "cut",
    Restore: "restore",
} as const;
export type Fault = typeof Fault[keyof typeof Fault];

export interface FaultRequest {
    readonly fault: Fault;
    /** Milliseconds of `lag` and `slow`. */
    readonly ms?: number;
    /** False keeps announcements alive under `cut`, as when a data centre is cut off with its own instances. */
    readonly announcements?: boolean;
}

/** Closes or silences the connections that are open. */
export interface ConnectionFaults {
    silenceAll(): void;
    dropAll(): void;
}

export interface NormalTimings {
    readonly lagMs: number;
    readonly serviceMs: number;
}

export class Faults {
    lagMs: number;
    serviceMs: number;
    refusesConnections = false;
    replicationCut = false;
    announcementsCut = false;
    private readonly normalTimings: NormalTimings;
    private paused = false;
    private resumeListeners: (() => void)[] = [];

    constructor(normalTimings: NormalTimings) {
        this.normalTimings = normalTimings;
        this.lagMs = normalTimings.lagMs;
        this.serviceMs = normalTimings.serviceMs;
    }

    /** Returns at once unless the database is paused; then when it is restored. */
    async waitWhilePaused(): Promise<void> {
        while (this.paused) {
            await new Promise<void>(resolve => this.resumeListeners.push(resolve));
        }
    }

    apply(request: FaultRequest, connections: ConnectionFaults): void {
        switch (request.fault) {
            case Fault.Pause:
                this.paused = true;
                break;
            case Fault.Silence:
                connections.silenceAll();
                break;
            case Fault.Lag:
                this.lagMs = request.ms ?? 0;
                break;
            case Fault.Drop:
                connections.dropAll();
                break;
            case Fault.Refuse:
                this.refusesConnections = true;
                break;
            case Fault.Slow:
                this.serviceMs = request.ms ?? 0;
                break;
            case Fault.Cut:
                this.replicationCut = true;
                this.announcementsCut = request.announcements !== false;
                break;
            case Fault.Restore:
                this.restore();
                break;
            default:
                throw new Error(`unknown fault "${String(request.fault)}"; see standins/database/faults.ts`);
        }
    }

    private restore(): void {
        this.lagMs = this.normalTimings.lagMs;
        this.serviceMs = this.normalTimings.serviceMs;
        this.refusesConnections = false;
        this.replicationCut = false;
        this.announcementsCut = false;
        this.paused = false;
        const listeners = this.resumeListeners;
        this.resumeListeners = [];
        listeners.forEach(listener => listener());
    }
}
