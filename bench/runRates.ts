/** Runs one load shape under one policy through the rate filters in virtual time. */
import { StatementKind } from "../src/model/statement.ts";
import { SeededRandom } from "../src/pipeline/seededRandom.ts";
import { type Arrival, FaultKind, type LoadShape, runDurationMs } from "./loadShapes.ts";
import { RateCluster } from "./rateCluster.ts";
import { measureRates, type RateFigures } from "./rateFigures.ts";
import type { RatePolicy } from "./ratePolicies.ts";
import type { User } from "./users.ts";

/** Waiting target of the default work class. */
const waitingTargetMs = 2_000;

export interface RateRun {
    readonly user: string;
    readonly shape: string;
    readonly policy: string;
    readonly figures: RateFigures;
    /** Arrivals of the run, in ascending order of time. */
    readonly arrivals: readonly Arrival[];
    /** Time of admission by index of the arrival. */
    readonly admittedAtMs: ReadonlyMap<number, number>;
}

export function runRates(user: User, shape: LoadShape, policy: RatePolicy, seed: number): RateRun {
    const arrivals = [...shape.arrivals(user, new SeededRandom(seed))].sort((left, right) => left.atMs - right.atMs);
    const cluster = new RateCluster({
        random: new SeededRandom(seed + 1),
        workspaces: user.workspaces,
        dataCentres: user.dataCentres,
        instancesPerDataCentre: user.instancesPerDataCentre,
        network: {
            localLatencyMs: 0.3,
            remoteLatencyMs: user.remoteLatencyMs,
            jitterMs: 0.5,
            lossProbability: 0,
            duplicationProbability: 0,
            latenessProbability: 0,
        },
        sharesFollowDemand: policy.sharesFollowDemand,
    });
    arrivals.forEach(({ atMs, workspaceIndex, instanceIndex }, arrivalId) =>
        cluster.simulation.at(atMs, () =>
            cluster.offer({
                arrivalId,
                workspace: user.workspaces[workspaceIndex]!.name,
                instanceIndex,
                statementKind: StatementKind.Read,
                inTransaction: false,
                waitingMs: policy.admissionWaitMs(waitingTargetMs),
            }))
    );
    for (const { atMs, kind, index } of shape.faults) {
        const actions = {
            [FaultKind.CutOff]: () => cluster.cutOff(index),
            [FaultKind.Heal]: () => cluster.heal(index),
            [FaultKind.Kill]: () => cluster.kill(index),
        };
        cluster.simulation.at(atMs, actions[kind]);
    }
    // Leaves statements that arrive at the end their whole waiting time.
    cluster.simulation.runUntil(runDurationMs + waitingTargetMs);
    const figures = measureRates(cluster, user, arrivals);
    const { admittedAtMs } = cluster;
    return { user: user.name, shape: shape.name, policy: policy.name, figures, arrivals, admittedAtMs };
}
