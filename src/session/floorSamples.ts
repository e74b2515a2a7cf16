/**
 * Read floors. The floor of a read is the log position that a database must have reached before it may serve the read.
 * Floors follow from log positions of the primary that were sampled at known times.
 */
import { comparePositions, laterPosition, type Position } from "../model/position.ts";

/** A log position of a primary that includes every commit acknowledged before `atMs`. */
export interface FloorSample {
    readonly position: Position;
    /** Time at which the command was sent that the primary answered with this position. */
    readonly atMs: number;
}

/** A sample as this instance knows it. */
interface KnownSample extends FloorSample {
    /** Time at which this instance learned the position; the primary had it by then. */
    readonly knownAtMs: number;
}

/** Maximum of samples per service; several are kept because routes have different maximum ages. */
const maximumSamples = 32;

export class FloorSamples {
    private readonly samples = new Map<string, KnownSample[]>();

    add(service: string, { position, atMs: sampleMs }: FloorSample, nowMs: number): void {
        const existing = this.samples.get(service) ?? [];
        const older = existing.filter(({ atMs }) => atMs < sampleMs);
        const newer = existing.filter(({ atMs }) => atMs >= sampleMs);
        const sample: KnownSample = { position, atMs: sampleMs, knownAtMs: nowMs };
        this.samples.set(service, [...older, sample, ...newer].slice(-maximumSamples));
    }

    /**
     * Returns the lowest known position that includes every commit acknowledged before `beforeMs`; undefined when no
     * sample is recent enough.
     */
    floorFor(service: string, beforeMs: number): Position | undefined {
        const recent = (this.samples.get(service) ?? []).filter(({ atMs }) => atMs >= beforeMs);
        return recent.length === 0
            ? undefined
            : recent.map(({ position }) => position).reduce((left, right) =>
                comparePositions(left, right) <= 0 ? left : right
            );
    }

    /** Returns the time by which the primary had records beyond a position; undefined if no sample shows any. */
    exceededByMs(service: string, position: Position): number | undefined {
        const times = (this.samples.get(service) ?? []).filter(sample =>
            comparePositions(sample.position, position) > 0
        )
            .map(({ knownAtMs }) => knownAtMs);
        return times.length === 0 ? undefined : Math.min(...times);
    }

    /** Time of the newest sample. */
    newestSampleMs(service: string): number | undefined {
        return this.samples.get(service)?.at(-1)?.atMs;
    }

    /** Removes the samples of a service once no database can reach their positions any more. */
    clear(service: string): void {
        this.samples.delete(service);
    }
}

/** Returns the later of two floors, either of which may be undefined. */
export function laterFloor(left: Position | undefined, right: Position | undefined): Position | undefined {
    return right === undefined ? left : laterPosition(left, right);
}
