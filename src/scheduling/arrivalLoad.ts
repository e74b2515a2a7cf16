/** How much service time arrives in the lanes of a queue, which tells how much of the server is left for what waits. */
import { DecayingCounter } from "../model/decayingCounter.ts";

/** Time over which arrivals are averaged. */
const timeConstantMs = 1_000;

/** Maximum of workspaces that are kept for a lane once they have stopped. */
const maximumStoppedWorkspaces = 256;

/** Load below which a workspace counts as stopped, as a number of busy slots. */
const stoppedLoad = 0.001;

interface LaneArrivals {
    readonly total: DecayingCounter;
    readonly byWorkspace: Map<string, DecayingCounter>;
}

/** Loads are averages of the number of slots that are kept busy. */
export class ArrivalLoad {
    private readonly lanes = new Map<number, LaneArrivals>();

    /** @param rank lanes with lower ranks go first */
    record(rank: number, workspace: string, costMs: number, nowMs: number): void {
        let lane = this.lanes.get(rank);
        if (lane === undefined) {
            lane = { total: new DecayingCounter(timeConstantMs), byWorkspace: new Map() };
            this.lanes.set(rank, lane);
        }
        let arrivals = lane.byWorkspace.get(workspace);
        if (arrivals === undefined) {
            removeStopped(lane, nowMs);
            arrivals = new DecayingCounter(timeConstantMs);
            lane.byWorkspace.set(workspace, arrivals);
        }
        lane.total.add(costMs, nowMs);
        arrivals.add(costMs, nowMs);
    }

    /** Load of all lanes that go before a lane. */
    before(rank: number, nowMs: number): number {
        let sumMs = 0;
        for (const [otherRank, { total }] of this.lanes) {
            sumMs += otherRank < rank ? total.value(nowMs) : 0;
        }
        return sumMs / timeConstantMs;
    }

    /** Load of the other workspaces of a lane. */
    beside(rank: number, workspace: string, nowMs: number): number {
        const lane = this.lanes.get(rank);
        const sumMs = lane === undefined
            ? 0
            : lane.total.value(nowMs) - (lane.byWorkspace.get(workspace)?.value(nowMs) ?? 0);
        return Math.max(0, sumMs) / timeConstantMs;
    }
}

function removeStopped({ byWorkspace }: LaneArrivals, nowMs: number): void {
    if (byWorkspace.size < maximumStoppedWorkspaces) {
        return;
    }
    for (const [workspace, arrivals] of byWorkspace) {
        if (arrivals.value(nowMs) < stoppedLoad * timeConstantMs) {
            byWorkspace.delete(workspace);
        }
    }
}
