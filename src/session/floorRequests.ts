/** Requests log positions of primaries, which serve as floors of reads, before the known ones are too old. */
import type { Position } from "../model/position.ts";
import { emptySessionContext, TaskMode } from "../model/sessionStatement.ts";
import type { RoutePolicy } from "../model/trafficPolicy.ts";
import type { Message } from "../pipeline/message.ts";
import { type FloorSample, FloorSamples, laterFloor } from "./floorSamples.ts";
import {
    type FloorLearned,
    type FloorProbeFailed,
    type FloorWanted,
    type LinkTask,
    type PositionProbeWanted,
    type Task,
    TaskKind,
    type TaskPlaced,
} from "./taskMessages.ts";

/**
 * A position older than this share of a route's maximum age is renewed while reads can still use it. With the shortest
 * usual maximum age, 1.5 s, the remaining time is above the timeout of one instance that does not answer.
 */
const renewalShare = 0.7;

/** Maximum age of a position from another instance, as a share of the route's; spares the primary further probes. */
const maximumProofAgeShare = 0.4;

/** Deadline of a probe. */
const probeTimeoutMs = 500;

/** Delay before a position is requested again after a failed probe; a promotion takes a few hundred milliseconds. */
const floorPauseMs = 100;

/** Time after which a position is requested again; above the timeouts of unresponsive instances plus a probe. */
const floorRequestTimeoutMs = 1_500;

/** The part of a read on which its floor depends. */
type FloorDemand = Pick<Task, "receivedMs" | "sessionFloor"> & {
    readonly route: Pick<RoutePolicy, "service" | "maximumAgeMs">;
};

export class FloorRequests {
    private readonly samples = new FloorSamples();
    /** Time until which no further position of a service is requested, because a request is in progress. */
    private readonly requestedUntilMs = new Map<string, number>();
    private nextProbeNumber = 0;

    learn({ service, sample }: FloorLearned, nowMs: number): void {
        this.samples.add(service, sample, nowMs);
        this.requestedUntilMs.delete(service);
    }

    /** Records a position that the primary has proved to this instance itself. */
    recordProof(service: string, sample: FloorSample, nowMs: number): void {
        this.samples.add(service, sample, nowMs);
    }

    /** Returns the position that a read needs; undefined if no known one is recent enough. */
    floorFor({ route: { service, maximumAgeMs }, receivedMs, sessionFloor }: FloorDemand): Position | undefined {
        const sampled = this.samples.floorFor(service, receivedMs - maximumAgeMs);
        return sampled === undefined ? undefined : laterFloor(sampled, sessionFloor);
    }

    /** Returns the time by which the primary had records beyond a position; undefined if that is unknown. */
    exceededByMs(service: string, position: Position): number | undefined {
        return this.samples.exceededByMs(service, position);
    }

    /** Returns the time at which the newest known position of a primary was proved. */
    newestProofMs(service: string): number | undefined {
        return this.samples.newestSampleMs(service);
    }

    /** Requests a newer position of the primary in the background. */
    renew(task: Task, nowMs: number): readonly Message[] {
        const { service, maximumAgeMs } = task.route;
        const newestSampleMs = this.samples.newestSampleMs(service);
        return newestSampleMs !== undefined && nowMs - newestSampleMs < renewalShare * maximumAgeMs
            ? []
            : this.request(task, nowMs);
    }

    /** The question of a task with home regions names no workspace, because the primary may be elsewhere. */
    request({ route, workspace: name, homeRegions }: Task, nowMs: number): readonly Message[] {
        const { service, maximumAgeMs } = route;
        const workspace = homeRegions === undefined ? name : "";
        if (nowMs < (this.requestedUntilMs.get(service) ?? 0)) {
            return [];
        }
        this.requestedUntilMs.set(service, nowMs + floorRequestTimeoutMs);
        const maximumProofAgeMs = maximumProofAgeShare * maximumAgeMs;
        return [{ kind: TaskKind.FloorWanted, service, workspace, maximumProofAgeMs } as FloorWanted];
    }

    /** @param databaseId the primary; undefined if none is known */
    probePrimary(
        { service, workspace }: FloorWanted,
        databaseId: string | undefined,
        nowMs: number,
    ): readonly Message[] {
        if (databaseId === undefined) {
            this.requestedUntilMs.set(service, nowMs + floorPauseMs);
            return [{ kind: TaskKind.FloorProbeFailed, service } as FloorProbeFailed];
        }
        return [this.placedProbe({ service, workspace, databaseId }, true, nowMs)];
    }

    /** Asks a database for its own position. */
    probeDatabase(wanted: PositionProbeWanted, nowMs: number): Message {
        return this.placedProbe(wanted, false, nowMs);
    }

    /** @param mayAskAgain a position that is still missing may be requested at once */
    recordProbeEnd(service: string, mayAskAgain: boolean, nowMs: number): void {
        if (mayAskAgain) {
            this.requestedUntilMs.delete(service);
        }
        else {
            this.requestedUntilMs.set(service, nowMs + floorPauseMs);
        }
    }

    private placedProbe(
        { service, workspace, databaseId }: Pick<PositionProbeWanted, "service" | "workspace" | "databaseId">,
        needsPrimary: boolean,
        nowMs: number,
    ): TaskPlaced {
        const attemptDeadlineMs = nowMs + probeTimeoutMs;
        const task: LinkTask = {
            taskId: `p${this.nextProbeNumber++}`,
            sessionId: "",
            service,
            workspace,
            mode: TaskMode.Probe,
            statement: undefined,
            writes: false,
            needsPrimary,
            context: emptySessionContext,
            deadlineMs: attemptDeadlineMs,
        };
        return { kind: TaskKind.Placed, task, databaseId, floor: undefined, attemptDeadlineMs };
    }
}
