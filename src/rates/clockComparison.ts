/** Speed of this instance's clock relative to the clocks of the instances that request permits from it. */

interface Sample {
    readonly remoteMs: number;
    readonly localMs: number;
}

interface PeerSamples {
    /** Least delayed sample of each interval, newest last. */
    readonly bestSamples: Sample[];
    latest: Sample;
}

/** Long compared with message jitter, short compared with the clock speed changes that must be detected. */
const sampleIntervalMs = 1_000;

/** Typical delay difference of two messages within a data centre. Without it every comparison would be too low. */
const delayJitterMs = 1;

/** Maximum relative error by which a comparison is too high; the first one spans two intervals. */
export const maximumComparisonError = delayJitterMs / (2 * sampleIntervalMs);

/** Number of intervals that are compared; the longest comparison spans 8 s. */
const bestSampleCount = 8;

/** Age after which an instance's last sample no longer reflects the current speed of its clock. */
const sampleValidityMs = 3_000;

/** Interval of the comparison, which iterates over all peers. */
const comparisonIntervalMs = 100;

/** A single peer could have the same clock fault as this instance and hide it. */
const minimumPeerCount = 2;

/** Relative drift above which a sample is from a new process of the instance, with another clock origin. */
const maximumPlausibleDrift = 0.25;

/**
 * Compares elapsed times, so that the clocks need no common origin. For each interval it keeps the sample with the
 * smallest message delay.
 */
export class ClockComparison {
    private readonly peers = new Map<string, PeerSamples>();
    private lastFactor: number | undefined;
    private comparedAtMs = -Infinity;

    recordSample(instanceId: string, remoteMs: number, localMs: number): void {
        const sample = { remoteMs, localMs };
        const peer = this.peers.get(instanceId);
        if (peer === undefined || !isPlausible(peer.latest, sample)) {
            this.peers.set(instanceId, { bestSamples: [sample], latest: sample });
            return;
        }
        peer.latest = sample;
        const newest = peer.bestSamples.at(-1)!;
        if (Math.floor(newest.localMs / sampleIntervalMs) !== Math.floor(localMs / sampleIntervalMs)) {
            peer.bestSamples.push(sample);
            peer.bestSamples.splice(0, peer.bestSamples.length - bestSampleCount);
        }
        else if (clockOffsetMs(sample) > clockOffsetMs(newest)) {
            peer.bestSamples[peer.bestSamples.length - 1] = sample;
        }
    }

    /**
     * Factor, at most 1, that scales elapsed time on this clock down to the slowest peer clock; undefined when too few
     * peers sent samples. A single peer whose clock is not fast suffices to detect that this clock is.
     */
    correctionFactor(nowMs: number): number | undefined {
        if (nowMs >= this.comparedAtMs + comparisonIntervalMs) {
            this.lastFactor = this.compare(nowMs);
            this.comparedAtMs = nowMs;
        }
        return this.lastFactor;
    }

    private compare(nowMs: number): number | undefined {
        const speeds: number[] = [];
        for (const [instanceId, peer] of this.peers) {
            if (peer.latest.localMs + sampleValidityMs < nowMs) {
                this.peers.delete(instanceId);
                continue;
            }
            const speed = slowestSpeed(peer);
            if (speed !== undefined) {
                speeds.push(speed);
            }
        }
        return speeds.length < minimumPeerCount ? undefined : Math.min(1, ...speeds);
    }
}

/** Slowest relative speed of the peer's clock since any best sample; undefined until these span two intervals. */
function slowestSpeed(peer: PeerSamples): number | undefined {
    const { latest, bestSamples } = peer;
    const comparable = bestSamples.filter(earlier => earlier.localMs + sampleIntervalMs <= latest.localMs);
    const isLongEnough = bestSamples[0]!.localMs + 2 * sampleIntervalMs <= latest.localMs;
    return isLongEnough ? Math.min(...comparable.map(earlier => speedRatio(earlier, latest))) : undefined;
}

function speedRatio(from: Sample, to: Sample): number {
    return (to.remoteMs - from.remoteMs + delayJitterMs) / (to.localMs - from.localMs);
}

function clockOffsetMs(sample: Sample): number {
    return sample.remoteMs - sample.localMs;
}

function isPlausible(from: Sample, to: Sample): boolean {
    const elapsedMs = to.localMs - from.localMs;
    const differenceMs = Math.abs(to.remoteMs - from.remoteMs - elapsedMs);
    // Over a short time the difference of the message delays dominates.
    return differenceMs <= maximumPlausibleDrift * Math.max(elapsedMs, sampleIntervalMs);
}
