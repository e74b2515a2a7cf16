/** Adaptive answer timeouts of other instances, and temporary avoidance of instances that do not answer. */

/** Time for which an instance that timed out or disconnected is avoided, unless it answers earlier. */
const avoidanceMs = 1_500;

/** Ratio of the timeout to the slowest recent answer. */
const timeoutFactor = 2;

/** Factor by which the timeout shrinks with each faster answer. */
const timeoutDecay = 0.9;

/** Time without an answer after which an instance counts as silent; several round trips between data centres. */
const silentAfterMs = 100;

export interface ResponsivenessOptions {
    /** Lower bound of the timeout. */
    readonly minimumTimeoutMs: number;
    /** Upper bound of the timeout, however slow earlier answers were. */
    readonly maximumTimeoutMs: number;
}

interface Peer {
    timeoutMs: number;
    /** Time at which the newest answered question was sent. */
    answeredSentMs: number;
    /** Time at which the first question since the last answer was sent; undefined without one. */
    silentSinceMs: number | undefined;
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

    /**
     * Returns whether the instance itself may be the cause of a question sent at `sentMs` that timed out. The network is
     * the likelier one while another instance is silent too and none has answered a later question, until the upper
     * bound of the timeout.
     */
    isTimeoutConclusive(address: string, sentMs: number, nowMs: number): boolean {
        if (nowMs >= sentMs + this.options.maximumTimeoutMs) {
            return true;
        }
        const others = [...this.peers].filter(([other]) => other !== address && !this.isAvoided(other, nowMs))
            .map(([, peer]) => peer);
        return others.some(({ answeredSentMs }) => answeredSentMs >= sentMs)
            || !others.some(({ silentSinceMs }) =>
                silentSinceMs !== undefined && nowMs - silentSinceMs >= silentAfterMs
            );
    }

    recordQuestion(address: string, nowMs: number): void {
        this.peerOf(address).silentSinceMs ??= nowMs;
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
        peer.answeredSentMs = Math.max(peer.answeredSentMs, sentMs ?? -Infinity);
        peer.silentSinceMs = undefined;
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
        peer.silentSinceMs = undefined;
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
            answeredSentMs: -Infinity,
            silentSinceMs: undefined,
            avoidedUntilMs: 0,
            disconnected: false,
            unansweredSinceMs: undefined,
        };
        this.peers.set(address, peer);
        return peer;
    }
}
