/** Faults that a test injects through the admin server. */

export const Fault = {
    /** Sends no responses, neither on open connections nor on new ones, until `restore`. */
    Pause: "pause",
    /** Connections that are open now never get a response again, even after `restore`; new connections work. */
    Silence: "silence",
    Lag: "lag",
    /** Closes every open connection. */
    Drop: "drop",
    Refuse: "refuse",
    /** Sets the service time of a statement. */
    Slow: "slow",
    /** Stops replication and announcements. */
    Cut: "cut",
    Restore: "restore",
} as const;
export type Fault = typeof Fault[keyof typeof Fault];

export interface FaultRequest {
    readonly fault: Fault;
    /** Duration for `lag` and `slow`. */
    readonly ms?: number;
    /**
     * False lets announcements continue under `cut`. This models a partitioned data centre, whose databases still reach
     * the instances of the same data centre.
     */
    readonly announcements?: boolean;
}

/** Applies the `drop` and `silence` faults to the open connections. */
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

    /** Resolves immediately, or after `restore` when the database is paused. */
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
