/** Counters of outcomes in time buckets of a fixed number. */
import {
    addCounts,
    type OutcomeClass,
    outcomeClasses,
    type OutcomeCounts,
    zeroOutcomeCounts,
} from "./outcomeCounts.ts";

/** Counts of one bucket; `age` 0 is the bucket of the present. */
export interface BucketCounts {
    readonly age: number;
    readonly counts: OutcomeCounts;
}

const width = outcomeClasses.length;

/** 4 bytes for each of the six counters of a bucket. */
export class OutcomeRingBuffer {
    private readonly bucketMs: number;
    private readonly length: number;
    private readonly counters: Uint32Array;
    private latest = 0;

    constructor(bucketMs: number, length: number) {
        this.bucketMs = bucketMs;
        this.length = length;
        this.counters = new Uint32Array(length * width);
    }

    increment(outcome: OutcomeClass, nowMs: number): void {
        this.advance(nowMs);
        this.counters[this.offset(this.latest) + outcomeClasses.indexOf(outcome)]!++;
    }

    /** Non-empty buckets, the youngest first. */
    read(nowMs: number): readonly BucketCounts[] {
        this.advance(nowMs);
        const result: BucketCounts[] = [];
        for (let age = 0; age < this.length; age++) {
            const counts = this.countsAt(this.latest - age);
            if (outcomeClasses.some(name => counts[name] > 0)) {
                result.push({ age, counts });
            }
        }
        return result;
    }

    /** Adds buckets of a snapshot that was taken `elapsedMs` ago. */
    restore(buckets: readonly BucketCounts[], elapsedMs: number, nowMs: number): void {
        this.advance(nowMs);
        const shift = Math.round(elapsedMs / this.bucketMs);
        for (const { age, counts } of buckets) {
            if (age + shift < this.length) {
                const offset = this.offset(this.latest - age - shift);
                outcomeClasses.forEach((name, index) => this.counters[offset + index]! += counts[name]);
            }
        }
    }

    get byteLength(): number {
        return this.counters.byteLength;
    }

    private advance(nowMs: number): void {
        const bucket = Math.floor(nowMs / this.bucketMs);
        const passed = Math.min(this.length, bucket - this.latest);
        for (let step = 0; step < passed; step++) {
            this.counters.fill(0, this.offset(bucket - step), this.offset(bucket - step) + width);
        }
        this.latest = Math.max(this.latest, bucket);
    }

    private countsAt(bucket: number): OutcomeCounts {
        const offset = this.offset(bucket);
        const entries = outcomeClasses.map((name, index) => [name, this.counters[offset + index]!] as const);
        return Object.fromEntries(entries) as unknown as OutcomeCounts;
    }

    private offset(bucket: number): number {
        return ((bucket % this.length + this.length) % this.length) * width;
    }
}

/** Sum of the buckets younger than `ages`. */
export function sumYoungerBuckets(buckets: readonly BucketCounts[], ages: number): OutcomeCounts {
    return buckets.filter(({ age }) => age < ages).reduce(
        (sum, { counts }) => addCounts(sum, counts),
        zeroOutcomeCounts,
    );
}
