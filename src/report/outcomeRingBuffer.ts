/** Ring buffer of time buckets that count the outcomes of statements. */
import {
    addCounts,
    type OutcomeClass,
    outcomeClasses,
    type OutcomeCounts,
    zeroOutcomeCounts,
} from "./outcomeCounts.ts";

export interface BucketCounts {
    /** Number of buckets since this one; 0 is the current bucket. */
    readonly age: number;
    readonly counts: OutcomeCounts;
}

const countersPerBucket = outcomeClasses.length;

/**
 * A fixed number of buckets, of which the newest replaces the oldest. Memory: each bucket has six counters of 4 bytes.
 */
export class OutcomeRingBuffer {
    private readonly bucketDurationMs: number;
    private readonly bucketCount: number;
    private readonly counters: Uint32Array;
    private latestBucket = 0;

    constructor(bucketDurationMs: number, bucketCount: number) {
        this.bucketDurationMs = bucketDurationMs;
        this.bucketCount = bucketCount;
        this.counters = new Uint32Array(bucketCount * countersPerBucket);
    }

    increment(outcome: OutcomeClass, nowMs: number): void {
        this.advanceTo(nowMs);
        this.counters[this.offset(this.latestBucket) + outcomeClasses.indexOf(outcome)]!++;
    }

    /** Returns the non-empty buckets, the newest first. */
    read(nowMs: number): readonly BucketCounts[] {
        this.advanceTo(nowMs);
        const result: BucketCounts[] = [];
        for (let age = 0; age < this.bucketCount; age++) {
            const counts = this.readBucket(this.latestBucket - age);
            if (outcomeClasses.some(name => counts[name] > 0)) {
                result.push({ age, counts });
            }
        }
        return result;
    }

    /** Adds the buckets of a snapshot that was taken `elapsedMs` ago, shifted by this age. */
    restore(buckets: readonly BucketCounts[], elapsedMs: number, nowMs: number): void {
        this.advanceTo(nowMs);
        const elapsedBuckets = Math.round(elapsedMs / this.bucketDurationMs);
        for (const { age, counts } of buckets) {
            if (age + elapsedBuckets < this.bucketCount) {
                const offset = this.offset(this.latestBucket - age - elapsedBuckets);
                outcomeClasses.forEach((name, index) => this.counters[offset + index]! += counts[name]);
            }
        }
    }

    get byteLength(): number {
        return this.counters.byteLength;
    }

    /** Clears the buckets that began since the last call. */
    private advanceTo(nowMs: number): void {
        const bucket = Math.floor(nowMs / this.bucketDurationMs);
        const newBuckets = Math.min(this.bucketCount, bucket - this.latestBucket);
        for (let index = 0; index < newBuckets; index++) {
            this.counters.fill(0, this.offset(bucket - index), this.offset(bucket - index) + countersPerBucket);
        }
        this.latestBucket = Math.max(this.latestBucket, bucket);
    }

    private readBucket(bucket: number): OutcomeCounts {
        const offset = this.offset(bucket);
        const entries = outcomeClasses.map((name, index) => [name, this.counters[offset + index]!] as const);
        return Object.fromEntries(entries) as unknown as OutcomeCounts;
    }

    private offset(bucket: number): number {
        return ((bucket % this.bucketCount + this.bucketCount) % this.bucketCount) * countersPerBucket;
    }
}

/** Adds up the newest `bucketCount` buckets, by their age. */
export function sumYoungerBuckets(buckets: readonly BucketCounts[], bucketCount: number): OutcomeCounts {
    return buckets.filter(({ age }) => age < bucketCount).reduce(
        (sum, { counts }) => addCounts(sum, counts),
        zeroOutcomeCounts,
    );
}
