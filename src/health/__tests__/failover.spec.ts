import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ClusterKind, type DatabasesChanged } from "../../model/clusterMessages.ts";
import { announcementExpiryMs } from "../../model/database.ts";
import { HealthKind } from "../../model/healthMessages.ts";
import { dataCentreOf, SimulatedCluster, type SimulatedClusterOptions } from "./simulatedCluster.ts";

const settledAtMs = 12_000;

/** Disables shrinking, which would take minutes at about 1 s per run; the seed and events of a failure are printed. */
const endOnFailure = true;

function settledCluster(options: Partial<SimulatedClusterOptions> = {}): SimulatedCluster {
    const cluster = new SimulatedCluster({ seed: 1, instances: 9, groups: 2, ...options });
    cluster.runUntil(settledAtMs);
    return cluster;
}

/** Longest time without an acknowledged write of a group between `fromMs` and `untilMs`. */
function longestWriteGapMs(cluster: SimulatedCluster, groupId: string, fromMs: number, untilMs: number): number {
    const times = cluster.acknowledgedWrites.get(groupId)!.map(write => write.atMs).filter(atMs => atMs >= fromMs);
    return Math.max(...[...times, untilMs].map((atMs, index) => atMs - (times[index - 1] ?? fromMs)));
}

function assertSafe(cluster: SimulatedCluster): void {
    assert.deepEqual(cluster.leaseViolations, [], "two instances held a valid lease for one resource");
    for (const [groupId, writes] of cluster.acknowledgedWrites) {
        const log = new Set(cluster.database(cluster.group(groupId)!.primaryId).log);
        const lost = writes.filter(write => !log.has(write.id));
        assert.deepEqual(lost, [], `acknowledged writes of ${groupId} are missing on its primary`);
    }
    const terms = cluster.control.groupHistory.map(({ group }) => `${group.groupId}/${group.term}/${group.primaryId}`);
    const primariesByTerm = new Map(terms.map(term => [term.slice(0, term.lastIndexOf("/")), term]));
    assert.equal(primariesByTerm.size, new Set(terms).size, "two primaries were agreed for one term");
}

function primaryChangesOf(cluster: SimulatedCluster, groupId: string): readonly { readonly atMs: number; }[] {
    const terms = new Set<number>();
    return cluster.control.groupHistory.filter(({ group }) => {
        const isNew = group.groupId === groupId && group.term > 1 && !terms.has(group.term);
        terms.add(group.term);
        return isNew;
    });
}

/** Runs a test with several seeds, which vary the speeds of the clocks and the order of events. */
function itForSeeds(name: string, run: (cluster: SimulatedCluster) => void): void {
    it(name, () => {
        const seeds = fc.property(fc.nat(1_000_000), seed => run(settledCluster({ seed, maximumDrift: 0.1 })));
        fc.assert(seeds, { seed: 20_260_603, numRuns: 10, endOnFailure });
    });
}

describe("failover", () => {
    it("forms groups from announcements and gives each database a holder in its data centre", () => {
        const cluster = settledCluster();
        for (const database of cluster.databases) {
            assert.equal(cluster.holderOf(database.databaseId)?.dataCentre, database.dataCentre);
        }
        assert.equal(cluster.group("g0")?.primaryId, "g0d0");
        assert.equal(
            cluster.control.leaseHistory.length,
            9,
            "six databases and three permit homes, assigned once each",
        );
        assertSafe(cluster);
    });

    itForSeeds("replaces a failed primary within 3 s when its holder is alive", cluster => {
        cluster.database("g0d0").alive = false;
        cluster.runUntil(settledAtMs + 10_000);
        const writeGapMs = longestWriteGapMs(cluster, "g0", settledAtMs - 100, settledAtMs + 10_000);
        assert.ok(writeGapMs < 3_000, `gap of ${writeGapMs} ms`);
        assert.equal(primaryChangesOf(cluster, "g0").length, 1);
        assert.equal(primaryChangesOf(cluster, "g1").length, 0);
        assertSafe(cluster);
    });

    for (const lost of ["holder", "control leader"] as const) {
        it(`replaces a failed primary within 13 s when the ${lost} fails with it`, () => {
            const cluster = settledCluster();
            cluster.database("g0d0").alive = false;
            const process = lost === "holder" ? cluster.holderOf("g0d0")! : cluster.control.leader!;
            process.alive = false;
            cluster.runUntil(settledAtMs + 20_000);
            const writeGapMs = longestWriteGapMs(cluster, "g0", settledAtMs - 100, settledAtMs + 20_000);
            assert.ok(writeGapMs < 13_000, `gap of ${writeGapMs} ms`);
            assertSafe(cluster);
        });
    }

    itForSeeds("completes a planned change of primary within 1 s and loses no acknowledged write", cluster => {
        cluster.control.leader!.loop.post({ kind: HealthKind.ChangePrimary, groupId: "g0" } as never);
        cluster.runUntil(settledAtMs + 10_000);
        const writeGapMs = longestWriteGapMs(cluster, "g0", settledAtMs - 100, settledAtMs + 10_000);
        assert.equal(primaryChangesOf(cluster, "g0").length, 1);
        assert.ok(writeGapMs < 1_000, `gap of ${writeGapMs} ms`);
        assert.equal(cluster.database("g0d0").role, "replica");
        assertSafe(cluster);
    });

    itForSeeds(
        "moves the primary out of an evacuated data centre without the loss of an acknowledged write",
        cluster => {
            const dataCentre = cluster.database("g0d0").dataCentre;
            cluster.control.evacuate(dataCentre);
            cluster.runUntil(settledAtMs + 30_000);
            for (const groupId of ["g0", "g1"]) {
                assert.notEqual(cluster.database(cluster.group(groupId)!.primaryId).dataCentre, dataCentre);
                assert.ok(primaryChangesOf(cluster, groupId).length <= 2);
            }
            assertSafe(cluster);
            cluster.control.evacuate();
            cluster.runUntil(settledAtMs + 45_000);
            assert.ok(primaryChangesOf(cluster, "g0").length <= 2, "nothing moves back");
            assertSafe(cluster);
        },
    );

    it("replaces a failed primary by a database outside of an evacuated data centre, and none if all are evacuated", () => {
        const cluster = settledCluster();
        const evacuated = cluster.database("g0d1").dataCentre;
        cluster.control.evacuate(evacuated);
        cluster.runUntil(settledAtMs + 1_000);
        cluster.database("g0d0").alive = false;
        cluster.runUntil(settledAtMs + 25_000);
        assert.equal(cluster.group("g0")!.primaryId, "g0d2");
        assertSafe(cluster);
        const all = settledCluster();
        all.control.evacuate(...["g0d0", "g0d1", "g0d2"].map(id => all.database(id).dataCentre));
        all.runUntil(settledAtMs + 20_000);
        assert.equal(primaryChangesOf(all, "g0").length, 0);
        assertSafe(all);
    });

    it("waits 10 s between two planned changes of one group", () => {
        const cluster = settledCluster();
        const change = (): void =>
            cluster.control.leader!.loop.post({ kind: HealthKind.ChangePrimary, groupId: "g0" } as never);
        change();
        cluster.runUntil(settledAtMs + 4_000);
        change();
        cluster.runUntil(settledAtMs + 20_000);
        const [first, second] = primaryChangesOf(cluster, "g0");
        assert.ok(second!.atMs - first!.atMs >= 10_000, "second change came too soon");
    });

    it("does not change the primary because of two failed probes or lagging replication", () => {
        const cluster = settledCluster();
        cluster.database("g0d0").partitioned = true;
        cluster.runUntil(settledAtMs + 500);
        cluster.database("g0d0").partitioned = false;
        cluster.databases.forEach(database => database.lagMs = 5_000);
        cluster.runUntil(settledAtMs + 10_000);
        assert.equal(primaryChangesOf(cluster, "g0").length, 0);
    });

    it("orders a returning old primary to follow", () => {
        const cluster = settledCluster();
        cluster.database("g0d0").alive = false;
        cluster.runUntil(settledAtMs + 5_000);
        cluster.database("g0d0").alive = true;
        cluster.runUntil(settledAtMs + 15_000);
        assert.equal(cluster.database("g0d0").role, "replica");
        assert.equal(primaryChangesOf(cluster, "g0").length, 1);
        assertSafe(cluster);
    });

    it("marks a silent or departing database as unavailable after 3 s", () => {
        const cluster = settledCluster();
        cluster.database("g0d1").alive = false;
        cluster.database("g1d1").departing = true;
        // The last announcement arrived 1 ms after it was sent, at `settledMs`.
        cluster.runUntil(settledAtMs + announcementExpiryMs + 2);
        for (const process of cluster.processes) {
            const changed = process.outputs.findLast(message => message.kind === ClusterKind.DatabasesChanged);
            const views = (changed as DatabasesChanged).databases;
            const unavailable = views.filter(view => !view.available).map(view => view.databaseId).sort();
            assert.deepEqual(unavailable, ["g0d1", "g1d1"], `at ${process.instanceId}`);
        }
    });

    it("reassigns the leases of a draining instance at once, without a change of primary", () => {
        const cluster = settledCluster();
        const holder = cluster.holderOf("g0d0")!;
        holder.loop.post({ kind: ClusterKind.DrainStarted, deadlineMs: 60_000 } as never);
        holder.holder.drain();
        cluster.runUntil(settledAtMs + 2_000);
        assert.notEqual(cluster.holderOf("g0d0"), holder);
        assert.equal(cluster.holderOf("g0d0")?.dataCentre, "north");
        assert.equal(primaryChangesOf(cluster, "g0").length, 0);
        assertSafe(cluster);
    });

    it("reassigns nothing in the first 4.5 s of a new leader and keeps all live holders", () => {
        const cluster = settledCluster();
        const initialAssignments = cluster.control.leaseHistory.length;
        const holder = cluster.holderOf("g0d1")!;
        const leader = cluster.control.leader!;
        leader.alive = false;
        holder.alive = false;
        cluster.runUntil(settledAtMs + 1_700);
        const leadershipStartMs = settledAtMs + 1_500;
        cluster.runUntil(settledAtMs + 15_000);
        const laterAssignments = cluster.control.leaseHistory.slice(initialAssignments);
        assert.ok(laterAssignments.length > 0);
        assert.ok(laterAssignments.every(({ atMs }) => atMs >= leadershipStartMs + 4_500), "reassigned too early");
        const moved = laterAssignments.map(({ assignment }) => assignment.resourceId);
        assert.equal(new Set(moved).size, moved.length, "a live holder lost a lease");
        assertSafe(cluster);
    });

    it("reassigns the leases of a silent instance no earlier than 3.5 s after the last answer to it", () => {
        const cluster = settledCluster();
        const initialAssignments = cluster.control.leaseHistory.length;
        const holder = cluster.processes.find(process =>
            process !== cluster.control.leader && process.validLeases().size > 0
        )!;
        holder.partitioned = true;
        cluster.runUntil(settledAtMs + 8_000);
        const [first] = cluster.control.leaseHistory.slice(initialAssignments);
        assert.ok(first!.atMs >= settledAtMs - 500 + 3_500, `reassigned at ${first!.atMs}`);
        assertSafe(cluster);
    });

    it("does not share the leases of a frozen process with its restarted successor", () => {
        const cluster = settledCluster();
        const frozen = cluster.processes.find(process =>
            process !== cluster.control.leader && process.validLeases().size > 0
        )!;
        frozen.frozenUntilMs = settledAtMs + 2_000;
        cluster.startProcess(frozen.instanceId, frozen.dataCentre);
        cluster.runUntil(settledAtMs + 10_000);
        assertSafe(cluster);
    });
});

const Fault = {
    KillInstance: "kill_instance",
    FreezeInstance: "freeze_instance",
    PartitionInstance: "partition_instance",
    RestartInstance: "restart_instance",
    KillDatabase: "kill_database",
    PartitionDatabase: "partition_database",
    ChangePrimary: "change_primary",
    DrainInstance: "drain_instance",
} as const;

interface FaultEvent {
    readonly fault: typeof Fault[keyof typeof Fault];
    readonly index: number;
    readonly delayMs: number;
    readonly durationMs: number;
}

const eventArbitrary = fc.record({
    fault: fc.constantFrom(...Object.values(Fault)),
    index: fc.nat(8),
    delayMs: fc.integer({ min: 0, max: 4_000 }),
    durationMs: fc.integer({ min: 200, max: 12_000 }),
});

/** Injects a fault that ends after its duration, so that majorities recover. */
function injectFault(cluster: SimulatedCluster, event: FaultEvent): void {
    const instanceId = `i${event.index}`;
    const process = cluster.liveProcess(instanceId);
    const database = cluster.databases[event.index % cluster.databases.length]!;
    const end = cluster.scheduler.nowMs + event.durationMs;
    const restart = (): void => {
        if (cluster.liveProcess(instanceId) === undefined) {
            cluster.startProcess(instanceId, dataCentreOf(event.index));
        }
    };
    switch (event.fault) {
        case Fault.KillInstance:
        case Fault.DrainInstance:
            if (event.fault === Fault.DrainInstance) {
                process?.loop.post({ kind: ClusterKind.DrainStarted, deadlineMs: Infinity } as never);
                process?.holder.drain();
            }
            cluster.scheduler.schedule(
                cluster.scheduler.nowMs + (event.fault === Fault.DrainInstance ? 1_000 : 0),
                () => {
                    if (process !== undefined) {
                        process.alive = false;
                    }
                },
            );
            cluster.scheduler.schedule(end + 1_000, restart);
            break;
        case Fault.FreezeInstance:
            if (process !== undefined) {
                process.frozenUntilMs = end;
            }
            break;
        case Fault.PartitionInstance:
            if (process !== undefined) {
                process.partitioned = true;
                cluster.scheduler.schedule(end, () => process.partitioned = false);
            }
            break;
        case Fault.RestartInstance:
            if (process !== undefined) {
                process.frozenUntilMs = end;
                cluster.startProcess(instanceId, process.dataCentre);
            }
            break;
        case Fault.KillDatabase:
            database.alive = false;
            cluster.scheduler.schedule(end, () => database.alive = true);
            break;
        case Fault.PartitionDatabase:
            database.partitioned = true;
            cluster.scheduler.schedule(end, () => database.partitioned = false);
            break;
        case Fault.ChangePrimary:
            cluster.control.leader?.loop.post({ kind: HealthKind.ChangePrimary, groupId: database.groupId } as never);
            break;
    }
}

describe("failover under generated faults", () => {
    it("never shares a lease, loses an acknowledged write or agrees on two primaries for one term", () => {
        const clusters = fc.record({
            seed: fc.nat(1_000_000),
            events: fc.array(eventArbitrary, { minLength: 1, maxLength: 8 }),
        });
        fc.assert(
            fc.property(clusters, ({ seed, events }) => {
                const cluster = new SimulatedCluster({
                    seed,
                    instances: 9,
                    groups: 2,
                    maximumDrift: 0.1,
                    disorder: 0.05,
                });
                cluster.runUntil(8_000);
                for (const event of events) {
                    cluster.runUntil(cluster.scheduler.nowMs + event.delayMs);
                    injectFault(cluster, event);
                }
                cluster.runUntil(cluster.scheduler.nowMs + 45_000);
                assertSafe(cluster);
                for (const groupId of ["g0", "g1"]) {
                    const last = cluster.acknowledgedWrites.get(groupId)?.at(-1);
                    assert.ok(
                        last !== undefined && last.atMs > cluster.scheduler.nowMs - 3_000,
                        `${groupId} acknowledges no writes again`,
                    );
                }
            }),
            { seed: 20_260_601, numRuns: 25, endOnFailure },
        );
    });

    it("resumes writes within 13 s after a loss that leaves majorities of the control members and of the group", () => {
        const losses = fc.record({
            seed: fc.nat(1_000_000),
            leader: fc.boolean(),
            holder: fc.boolean(),
            freeze: fc.boolean(),
            partitionDataCentre: fc.boolean(),
        });
        fc.assert(
            fc.property(losses, ({ seed, leader, holder, freeze, partitionDataCentre }) => {
                const cluster = settledCluster({ seed, maximumDrift: 0.1 });
                const lost = [
                    leader ? cluster.control.leader! : undefined,
                    holder ? cluster.holderOf("g0d0")! : undefined,
                ].filter(process => process !== undefined);
                lost.forEach(process => {
                    process.alive = freeze;
                    process.frozenUntilMs = Infinity;
                });
                const north = cluster.processes.filter(process => process.dataCentre === "north");
                north.filter(() => partitionDataCentre && !leader).forEach(process => process.partitioned = true);
                cluster.database("g0d0").partitioned = partitionDataCentre;
                cluster.database("g0d0").alive = partitionDataCentre;
                cluster.runUntil(settledAtMs + 25_000);
                const writeGapMs = longestWriteGapMs(cluster, "g0", settledAtMs - 100, settledAtMs + 25_000);
                assert.ok(writeGapMs < 13_000, `gap of ${writeGapMs} ms`);
                assertSafe(cluster);
            }),
            { seed: 20_260_602, numRuns: 20, endOnFailure },
        );
    });
});
