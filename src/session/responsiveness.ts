/** Adaptive answer timeouts of other instances, and temporary avoidance of instances that do not answer. */

/** Time for which an instance that timed out or disconnected is avoided, unless it answers earlier. */
const avoidanceMs = 1_500;

/** Ratio of the timeout to the slowest recent answer. */
const timeoutFactor = 2;

/** Factor by which the timeout shrinks with each faster answer. */
const timeoutDecay = 0.9;

export interface ResponsivenessOptions {
    /** Lower bound of the timeout. */
    readonly minimumTimeoutMs: number;
    /** Upper bound of the timeout, however slow earlier answers were. */
    readonly maximumTimeoutMs: number;
}

interface Peer {
    timeoutMs: number;
    avoidedUntilMs: number;
    /** The instance is avoided because its connection ended, not because of a timeout. */
    disconnected: boolean;
    /** Time at which the oldest question that timed out was sent; undefined after an answer. */
    unansweredSinceMs: number | undefined;
}

/**
 * Adapts the timeout of each instance to the delay of its answers. On a congested network a fixed timeout below the
 * delay would make every instance look unresponsive, and the work sent elsewhere would add to the congestion.
 */
export class Responsiveness {
    private readonly options: ResponsivenessOptions;
    /** By address. */
    private readonly peers = new Map<string, Peer>();

    constructor(options: ResponsivenessOptions) {
        this.options = options;
    }

    /** Time after a question within which the instance must send an answer to some question. */
    timeoutMs(address: string): number {
        return this.peers.get(address)?.timeoutMs ?? this.options.minimumTimeoutMs;
    }

    isAvoided(address: string, nowMs: number): boolean {
        return (this.peers.get(address)?.avoidedUntilMs ?? 0) > nowMs;
    }

    /** Returns whether the instance is avoided because its connection ended. */
    isDisconnected(address: string, nowMs: number): boolean {
        return this.isAvoided(address, nowMs) && this.peers.get(address)!.disconnected;
    }

    /** @param sentMs when the question was sent; undefined when this is no longer known */
    recordAnswer(address: string, sentMs: number | undefined, nowMs: number): void {
        const { minimumTimeoutMs, maximumTimeoutMs } = this.options;
        const peer = this.peerOf(address);
        const elapsedMs = nowMs - (sentMs ?? peer.unansweredSinceMs ?? nowMs);
        peer.timeoutMs = Math.min(
            maximumTimeoutMs,
            Math.max(minimumTimeoutMs, timeoutFactor * elapsedMs, timeoutDecay * peer.timeoutMs),
        );
        peer.avoidedUntilMs = 0;
        peer.unansweredSinceMs = undefined;
    }

    /** Records that neither the question sent at `sentMs` nor any later one has been answered. */
    recordTimeout(address: string, sentMs: number, nowMs: number): void {
        const peer = this.peerOf(address);
        peer.avoidedUntilMs = nowMs + avoidanceMs;
        peer.disconnected = false;
        peer.unansweredSinceMs ??= sentMs;
    }

    /** Records that the connection to the instance ended. */
    recordDisconnect(address: string, nowMs: number): void {
        const peer = this.peerOf(address);
        peer.avoidedUntilMs = nowMs + avoidanceMs;
        peer.disconnected = true;
        peer.unansweredSinceMs = undefined;
    }

    /** Removes all instances except those at the given addresses. */
    retain(addresses: ReadonlySet<string>): void {
        [...this.peers.keys()].filter(address => !addresses.has(address)).forEach(address =>
            this.peers.delete(address)
        );
    }

    private peerOf(address: string): Peer {
        const existing = this.peers.get(address);
        if (existing !== undefined) {
            return existing;
        }
        const peer: Peer = {
            timeoutMs: this.options.minimumTimeoutMs,
            avoidedUntilMs: 0,
            disconnected: false,
            unansweredSinceMs: undefined,
        };
        this.peers.set(address, peer);
        return peer;
    }
}
