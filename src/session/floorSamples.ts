/** Positions that the primary of each service is known to have had, and when. */
import { comparePositions, laterPosition, type Position } from "../model/position.ts";

/** A commit acknowledged before `atMs` is at or before `position`. */
export interface FloorSample {
    readonly position: Position;
    /** Time at which the command that proved it was sent. */
    readonly atMs: number;
}

/** Samples kept for each service; readers with different ages use different ones. */
const maximumSamples = 32;

export class FloorSamples {
    private readonly samples = new Map<string, FloorSample[]>();

    add(service: string, sample: FloorSample): void {
        const existing = this.samples.get(service) ?? [];
        const older = existing.filter(({ atMs }) => atMs < sample.atMs);
        const newer = existing.filter(({ atMs }) => atMs >= sample.atMs);
        this.samples.set(service, [...older, sample, ...newer].slice(-maximumSamples));
    }

    /**
     * The lowest position that holds every commit acknowledged before `beforeMs`; undefined when no sample is recent
     * enough.
     */
    floorFor(service: string, beforeMs: number): Position | undefined {
        const recent = (this.samples.get(service) ?? []).filter(({ atMs }) => atMs >= beforeMs);
        return recent.length === 0
            ? undefined
            : recent.map(({ position }) => position).reduce((left, right) =>
                comparePositions(left, right) <= 0 ? left : right
            );
    }

    /** Time of the newest sample. */
    newestSampleMs(service: string): number | undefined {
        return this.samples.get(service)?.at(-1)?.atMs;
    }

    /** Drops samples that no copy can satisfy any more. */
    clear(service: string): void {
        this.samples.delete(service);
    }
}

/** The later of two floors, of which either may be missing. */
export function laterFloor(left: Position | undefined, right: Position | undefined): Position | undefined {
    return left === undefined ? right : right === undefined ? left : laterPosition(left, right);
}
