/** Speed of this instance's clock against the clocks of the instances that ask it for permits. */

interface Sample {
    readonly remoteMs: number;
    readonly localMs: number;
}

/** Best sample of each interval, newest last. */
interface Peer {
    readonly anchors: Sample[];
    latest: Sample;
}

/** Long against the jitter of a message, short against a change of a clock's speed that should be noticed. */
const intervalMs = 1_000;

/** Usual difference of the delays of two messages within a data centre. Without it every comparison would err low. */
const jitterMs = 1;

/** Largest part by which a comparison errs high: the earliest one spans two intervals. */
export const maximumComparisonError = jitterMs / (2 * intervalMs);

/** Number of intervals that are compared; the longest comparison spans 8 s. */
const anchorCount = 8;

/** Time after which the last sample of an instance says nothing about the present. */
const staleMs = 3_000;

/** Interval of the comparison, which costs a pass over all peers. */
const agreementMs = 100;

/** Peers needed, so that one of them with the same fault as this instance does not hide it. */
const peersNeeded = 2;

/** Ratio outside of which a sample belongs to another life of the instance. */
const plausibleDrift = 0.25;

/**
 * Compares elapsed times, so that the clocks need no common origin. Of each interval the sample that was least delayed
 * on its way is kept.
 */
export class ClockComparison {
    private readonly peers = new Map<string, Peer>();
    private agreed: number | undefined;
    private agreedMs = -Infinity;

    recordSample(instanceId: string, remoteMs: number, localMs: number): void {
        const sample = { remoteMs, localMs };
        const peer = this.peers.get(instanceId);
        if (peer === undefined || !isPlausible(peer.latest, sample)) {
            this.peers.set(instanceId, { anchors: [sample], latest: sample });
            return;
        }
        peer.latest = sample;
        const newest = peer.anchors.at(-1)!;
        if (Math.floor(newest.localMs / intervalMs) !== Math.floor(localMs / intervalMs)) {
            peer.anchors.push(sample);
            peer.anchors.splice(0, peer.anchors.length - anchorCount);
        }
        else if (advance(sample) > advance(newest)) {
            peer.anchors[peer.anchors.length - 1] = sample;
        }
    }

    /**
     * Largest part of this clock's speed that no other clock contradicts, at most 1; undefined when too few were
     * heard. One clock that is not fast is enough to notice that this one is.
     */
    correctionFactor(nowMs: number): number | undefined {
        if (nowMs >= this.agreedMs + agreementMs) {
            this.agreed = this.compare(nowMs);
            this.agreedMs = nowMs;
        }
        return this.agreed;
    }

    private compare(nowMs: number): number | undefined {
        const speeds: number[] = [];
        for (const [instanceId, peer] of this.peers) {
            if (peer.latest.localMs + staleMs < nowMs) {
                this.peers.delete(instanceId);
                continue;
            }
            const speed = speedOf(peer);
            if (speed !== undefined) {
                speeds.push(speed);
            }
        }
        return speeds.length < peersNeeded ? undefined : Math.min(1, ...speeds);
    }
}

/** Slowest speed of the peer's clock since any of its anchors; undefined before it was heard for two intervals. */
function speedOf(peer: Peer): number | undefined {
    const { latest, anchors } = peer;
    const elapsed = anchors.filter(anchor => anchor.localMs + intervalMs <= latest.localMs);
    const isLongEnough = anchors[0]!.localMs + 2 * intervalMs <= latest.localMs;
    return isLongEnough ? Math.min(...elapsed.map(anchor => ratio(anchor, latest))) : undefined;
}

function ratio(from: Sample, to: Sample): number {
    return (to.remoteMs - from.remoteMs + jitterMs) / (to.localMs - from.localMs);
}

function advance(sample: Sample): number {
    return sample.remoteMs - sample.localMs;
}

function isPlausible(from: Sample, to: Sample): boolean {
    const elapsedMs = to.localMs - from.localMs;
    const difference = Math.abs(to.remoteMs - from.remoteMs - elapsedMs);
    // Messages that arrive close together differ by their delays.
    return difference <= plausibleDrift * Math.max(elapsedMs, intervalMs);
}
