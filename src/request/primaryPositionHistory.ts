/** History of a group's primary position, which turns an age target into a position. */
import { laterPosition, type Position } from "../model/position.ts";

interface PositionSample {
    /** Local monotonic time at which `position` covered every acknowledged write. */
    readonly atMs: number;
    readonly position: Position;
}

const minimumSampleIntervalMs = 20;
const maximumSamples = 512;

/**
 * Positions of one primary over time. A database that reached the position of a sample lacks no write that was
 * acknowledged before the sample's time, so its data is no older than that.
 */
export class PrimaryPositionHistory {
    private samples: PositionSample[] = [];

    /**
     * Adds what a floor answer told.
     * @param requestedAtMs local time at which the question was sent, so that delays only make the proof weaker
     * @param ageMs time for which the holder already knew the position when it answered
     */
    add(position: Position, requestedAtMs: number, ageMs: number): void {
        const atMs = requestedAtMs - ageMs;
        const last = this.samples.at(-1);
        if (last !== undefined && atMs < last.atMs) {
            return;
        }
        if (
            last !== undefined && this.samples.length > 1 && atMs - this.samples.at(-2)!.atMs < minimumSampleIntervalMs
        ) {
            this.samples.pop();
        }
        this.samples.push({ atMs, position: last === undefined ? position : laterPosition(last.position, position) });
        if (this.samples.length > maximumSamples) {
            this.thinOutOlderSamples();
        }
    }

    /**
     * The earliest position whose data is at most `maximumAgeMs` old at `atMs`.
     * @returns undefined when no sample is recent enough to prove anything
     */
    floorForAge(maximumAgeMs: number, atMs: number): Position | undefined {
        return this.samples.find(sample => sample.atMs >= atMs - maximumAgeMs)?.position;
    }

    // Old samples serve generous age targets, for which a coarser spacing costs little.
    private thinOutOlderSamples(): void {
        const half = this.samples.length >> 1;
        this.samples = this.samples.filter((_, index) => index >= half || index % 2 === 0);
    }
}
