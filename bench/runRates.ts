/** Runs one load shape under one policy in virtual time. */
import { StatementKind } from "../src/model/statement.ts";
import { SeededRandom } from "../src/pipeline/seededRandom.ts";
import { type Figures, measureRates } from "./figures.ts";
import { type Arrival, FaultKind, type LoadShape, runMs } from "./loadShapes.ts";
import { RateCluster } from "./rateCluster.ts";
import type { RatePolicy } from "./ratePolicies.ts";
import type { User } from "./users.ts";

/** Waiting target of the default work class. */
const waitingTargetMs = 2_000;

export interface RateRun {
    readonly user: string;
    readonly shape: string;
    readonly policy: string;
    readonly figures: Figures;
    /** Load of the run, in ascending order of time. */
    readonly arrivals: readonly Arrival[];
    /** Time of admission by index of the arrival. */
    readonly admittedMs: ReadonlyMap<number, number>;
}

export function runRates(user: User, shape: LoadShape, policy: RatePolicy, seed: number): RateRun {
    const arrivals = [...shape.arrivals(user, new SeededRandom(seed))].sort((left, right) => left.atMs - right.atMs);
    const cluster = new RateCluster({
        random: new SeededRandom(seed + 1),
        workspaces: user.workspaces,
        dataCentres: user.dataCentres,
        instancesPerDataCentre: user.instancesPerDataCentre,
        network: {
            localMs: 0.3,
            betweenMs: user.betweenMs,
            jitterMs: 0.5,
            lostShare: 0,
            duplicateShare: 0,
            lateShare: 0,
        },
        movesShares: policy.movesShares,
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
    // Statements that arrive at the end still have their whole waiting time.
    cluster.simulation.runUntil(runMs + waitingTargetMs);
    const figures = measureRates(cluster, user, arrivals);
    const { admittedMs } = cluster;
    return { user: user.name, shape: shape.name, policy: policy.name, figures, arrivals, admittedMs };
}
