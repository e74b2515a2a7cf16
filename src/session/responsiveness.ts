/** How long each instance takes to answer, and which ones are passed over because they do not. */

/**
 * Time for which an instance that does not answer is passed over, unless it answers after all.
 */
const avoidanceMs = 1_500;

/** An answer may take this many times as long as the slowest one before it. */
const timeoutFactor = 2;

/** Part of the limit that is left after each answer that came sooner. */
const timeoutDecay = 0.9;

export interface ResponsivenessOptions {
    /** Silence that is borne in any case. */
    readonly minimumTimeoutMs: number;
    /** Silence that is not borne, however slow the answers before it were. */
    readonly maximumTimeoutMs: number;
}

interface Peer {
    timeoutMs: number;
    avoidedUntilMs: number;
    /** The avoidance is for a connection that ended, not for silence. */
    disconnected: boolean;
    /** When the oldest question was sent that has met silence so far. */
    unansweredSinceMs: number | undefined;
}

/**
 * The silence that counts as failure follows the answers: behind a congested link every instance looks silent for as
 * long as a fixed limit is below the delay, and work that goes elsewhere adds to the congestion.
 */
export class Responsiveness {
    private readonly options: ResponsivenessOptions;
    /** By address. */
    private readonly peers = new Map<string, Peer>();

    constructor(options: ResponsivenessOptions) {
        this.options = options;
    }

    /** Time from a question within which some answer is expected, in ms. */
    timeoutMs(address: string): number {
        return this.peers.get(address)?.timeoutMs ?? this.options.minimumTimeoutMs;
    }

    isAvoided(address: string, nowMs: number): boolean {
        return (this.peers.get(address)?.avoidedUntilMs ?? 0) > nowMs;
    }

    /** It is avoided because the connection to it ended. */
    isDisconnected(address: string, nowMs: number): boolean {
        return this.isAvoided(address, nowMs) && this.peers.get(address)!.disconnected;
    }

    /** @param sentMs when the question was sent; undefined when that is forgotten */
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

    /** A question sent at `sentMs` and everything behind it has no answer. */
    recordTimeout(address: string, sentMs: number, nowMs: number): void {
        const peer = this.peerOf(address);
        peer.avoidedUntilMs = nowMs + avoidanceMs;
        peer.disconnected = false;
        peer.unansweredSinceMs ??= sentMs;
    }

    /** The connection to it ended. */
    recordDisconnect(address: string, nowMs: number): void {
        const peer = this.peerOf(address);
        peer.avoidedUntilMs = nowMs + avoidanceMs;
        peer.disconnected = true;
        peer.unansweredSinceMs = undefined;
    }

    /** Forgets the instances that are not at any of the addresses. */
    retain(addresses: ReadonlySet<string>): void {
        [...this.peers.keys()].filter(address => !addresses.has(address)).forEach(address =>
            this.peers.delete(address)
        );
    }

    private peerOf(address: string): Peer {
        const known = this.peers.get(address);
        if (known !== undefined) {
            return known;
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
