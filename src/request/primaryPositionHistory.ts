/** History of the log position of a group's primary, which maps a maximum data age to a log position. */
import { laterPosition, type Position } from "../model/position.ts";

interface PositionSample {
    /** Local monotonic time at which `position` included all acknowledged writes. */
    readonly atMs: number;
    readonly position: Position;
}

const minimumSampleIntervalMs = 20;
const maximumSamples = 512;

/**
 * Log positions of the primary over time. A database that has reached the position of a sample has applied all writes
 * that were acknowledged before the time of the sample, so its data is at least as recent.
 */
export class PrimaryPositionHistory {
    private samples: PositionSample[] = [];

    /**
     * Adds the primary position of a floor answer.
     * @param requestedAtMs local time at which the floor request was sent, so that a delayed answer counts as older
     * @param ageMs age of the position when the holder answered
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
        this.samples.push({ atMs, position: laterPosition(last?.position, position) });
        if (this.samples.length > maximumSamples) {
            this.thinOutOlderSamples();
        }
    }

    /**
     * Returns the earliest position whose data is at most `maximumAgeMs` old at `atMs`.
     * @returns undefined when no sample is recent enough
     */
    findFloorForAge(maximumAgeMs: number, atMs: number): Position | undefined {
        return this.samples.find(sample => sample.atMs >= atMs - maximumAgeMs)?.position;
    }

    // Older samples serve longer maximum ages, for which a coarser resolution costs little.
    private thinOutOlderSamples(): void {
        const half = this.samples.length >> 1;
        this.samples = this.samples.filter((_, index) => index >= half || index % 2 === 0);
    }
}
