/** Histogram of latencies that can be merged with those of other instances. */
import hdr from "hdr-histogram-js";

const buildOptions = {
    lowestDiscernibleValue: 1,
    highestTrackableValue: 600_000,
    numberOfSignificantValueDigits: 1 as const,
    bitBucketSize: 32 as const,
    autoResize: false,
    useWebAssembly: false,
};

/** Counts latencies up to 10 minutes with a precision of one significant digit; longer ones count as 10 minutes. */
export class LatencyHistogram {
    private readonly histogram = hdr.build(buildOptions);

    record(valueMs: number): void {
        this.histogram.recordValue(Math.min(buildOptions.highestTrackableValue, Math.max(0, Math.round(valueMs))));
    }

    merge(other: LatencyHistogram): void {
        this.histogram.add(other.histogram);
    }

    get valueCount(): number {
        return this.histogram.totalCount;
    }

    /** Upper bound of the percentile, with `share` between 0 and 1; 0 when nothing was recorded. */
    percentileMs(share: number): number {
        return this.valueCount === 0 ? 0 : this.histogram.getValueAtPercentile(100 * share);
    }

    /** Encodes the histogram in the compressed format of the library, as Base64; empty when nothing was recorded. */
    encode(): string {
        return this.valueCount === 0 ? "" : hdr.encodeIntoCompressedBase64(this.histogram);
    }

    static decode(text: string): LatencyHistogram {
        const result = new LatencyHistogram();
        if (text !== "") {
            result.histogram.add(hdr.decodeFromCompressedBase64(text, 32, false));
        }
        return result;
    }

    /** Memory of the counters in bytes, as the library estimates it; the estimate is high. */
    get byteLength(): number {
        return this.histogram.estimatedFootprintInBytes;
    }
}
