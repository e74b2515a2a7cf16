import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ClusterKind, type DatabasesChanged } from "../../model/clusterMessages.ts";
import { announcementExpiryMs } from "../../model/database.ts";
import { HealthKind } from "../../model/healthMessages.ts";
import { dataCentreOf, SimulatedCluster, type SimulatedClusterOptions } from "./simulatedCluster.ts";

const settledMs = 12_000;

/** One world takes about 1 s, so that shrinking a failure would take minutes; its seed and events are printed. */
const endOnFailure = true;

function settledCluster(options: Partial<SimulatedClusterOptions> = {}): SimulatedCluster {
    const cluster = new SimulatedCluster({ seed: 1, instances: 9, groups: 2, ...options });
    cluster.runUntil(settledMs);
    return cluster;
}

/** Longest time between two acknowledged writes of a group that both lie after `fromMs`, or its end at `untilMs`. */
function longestGapMs(cluster: SimulatedCluster, groupId: string, fromMs: number, untilMs: number): number {
    const times = cluster.acknowledged.get(groupId)!.map(write => write.atMs).filter(atMs => atMs >= fromMs);
    return Math.max(...[...times, untilMs].map((atMs, index) => atMs - (times[index - 1] ?? fromMs)));
}

function assertSafe(cluster: SimulatedCluster): void {
    assert.deepEqual(cluster.violations, [], "two instances held a valid lease for one resource");
    for (const [groupId, writes] of cluster.acknowledged) {
        const log = new Set(cluster.database(cluster.group(groupId)!.primaryId).log);
        const lost = writes.filter(write => !log.has(write.id));
        assert.deepEqual(lost, [], `acknowledged writes of ${groupId} are missing on its primary`);
    }
    const terms = cluster.control.groupHistory.map(({ group }) => `${group.groupId}/${group.term}/${group.primaryId}`);
    const primariesByTerm = new Map(terms.map(term => [term.slice(0, term.lastIndexOf("/")), term]));
    assert.equal(primariesByTerm.size, new Set(terms).size, "two primaries were agreed for one term");
}

function changesOf(cluster: SimulatedCluster, groupId: string): readonly { readonly atMs: number; }[] {
    const terms = new Set<number>();
    return cluster.control.groupHistory.filter(({ group }) => {
        const isNew = group.groupId === groupId && group.term > 1 && !terms.has(group.term);
        terms.add(group.term);
        return isNew;
    });
}

/** Runs one case with drifting clocks and other orders of events. */
function overSeeds(name: string, run: (cluster: SimulatedCluster) => void): void {
    it(name, () => {
        const seeds = fc.property(fc.nat(1_000_000), seed => run(settledCluster({ seed, drift: 0.1 })));
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

    overSeeds("replaces a dead primary within 3 s when its holder lives", cluster => {
        cluster.database("g0d0").alive = false;
        cluster.runUntil(settledMs + 10_000);
        const gapMs = longestGapMs(cluster, "g0", settledMs - 100, settledMs + 10_000);
        assert.ok(gapMs < 3_000, `gap of ${gapMs} ms`);
        assert.equal(changesOf(cluster, "g0").length, 1);
        assert.equal(changesOf(cluster, "g1").length, 0);
        assertSafe(cluster);
    });

    for (const lost of ["holder", "control leader"] as const) {
        it(`replaces a dead primary within 13 s when the ${lost} is lost with it`, () => {
            const cluster = settledCluster();
            cluster.database("g0d0").alive = false;
            const process = lost === "holder" ? cluster.holderOf("g0d0")! : cluster.control.leader!;
            process.alive = false;
            cluster.runUntil(settledMs + 20_000);
            const gapMs = longestGapMs(cluster, "g0", settledMs - 100, settledMs + 20_000);
            assert.ok(gapMs < 13_000, `gap of ${gapMs} ms`);
            assertSafe(cluster);
        });
    }

    overSeeds("changes the primary as planned within 1 s and loses nothing", cluster => {
        cluster.control.leader!.loop.post({ kind: HealthKind.ChangePrimary, groupId: "g0" } as never);
        cluster.runUntil(settledMs + 10_000);
        const gapMs = longestGapMs(cluster, "g0", settledMs - 100, settledMs + 10_000);
        assert.equal(changesOf(cluster, "g0").length, 1);
        assert.ok(gapMs < 1_000, `gap of ${gapMs} ms`);
        assert.equal(cluster.database("g0d0").role, "replica");
        assertSafe(cluster);
    });

    it("lets 10 s pass between two planned changes of one group", () => {
        const cluster = settledCluster();
        const change = (): void =>
            cluster.control.leader!.loop.post({ kind: HealthKind.ChangePrimary, groupId: "g0" } as never);
        change();
        cluster.runUntil(settledMs + 4_000);
        change();
        cluster.runUntil(settledMs + 20_000);
        const [first, second] = changesOf(cluster, "g0");
        assert.ok(second!.atMs - first!.atMs >= 10_000, "second change came too soon");
    });

    it("promotes nobody for two failed probes or a primary whose position stands still", () => {
        const cluster = settledCluster();
        cluster.database("g0d0").partitioned = true;
        cluster.runUntil(settledMs + 500);
        cluster.database("g0d0").partitioned = false;
        cluster.databases.forEach(database => database.lagMs = 5_000);
        cluster.runUntil(settledMs + 10_000);
        assert.equal(changesOf(cluster, "g0").length, 0);
    });

    it("orders a returning old primary to follow", () => {
        const cluster = settledCluster();
        cluster.database("g0d0").alive = false;
        cluster.runUntil(settledMs + 5_000);
        cluster.database("g0d0").alive = true;
        cluster.runUntil(settledMs + 15_000);
        assert.equal(cluster.database("g0d0").role, "replica");
        assert.equal(changesOf(cluster, "g0").length, 1);
        assertSafe(cluster);
    });

    it("gives a silent or departing database no new work after 3 s", () => {
        const cluster = settledCluster();
        cluster.database("g0d1").alive = false;
        cluster.database("g1d1").departing = true;
        // The last announcement arrived 1 ms after it was sent, at `settledMs`.
        cluster.runUntil(settledMs + announcementExpiryMs + 2);
        for (const process of cluster.processes) {
            const changed = process.seen.findLast(message => message.kind === ClusterKind.DatabasesChanged);
            const views = (changed as DatabasesChanged).databases;
            const unavailable = views.filter(view => !view.available).map(view => view.databaseId).sort();
            assert.deepEqual(unavailable, ["g0d1", "g1d1"], `at ${process.instanceId}`);
        }
    });

    it("hands over leases at once on drain, without a change of primary", () => {
        const cluster = settledCluster();
        const holder = cluster.holderOf("g0d0")!;
        holder.loop.post({ kind: ClusterKind.DrainStarted, deadlineMs: 60_000 } as never);
        holder.holder.drain();
        cluster.runUntil(settledMs + 2_000);
        assert.notEqual(cluster.holderOf("g0d0"), holder);
        assert.equal(cluster.holderOf("g0d0")?.dataCentre, "north");
        assert.equal(changesOf(cluster, "g0").length, 0);
        assertSafe(cluster);
    });

    it("reassigns nothing in the first 4.5 s of a new leader and keeps all living holders", () => {
        const cluster = settledCluster();
        const assigned = cluster.control.leaseHistory.length;
        const holder = cluster.holderOf("g0d1")!;
        const leader = cluster.control.leader!;
        leader.alive = false;
        holder.alive = false;
        cluster.runUntil(settledMs + 1_700);
        const officeMs = settledMs + 1_500;
        cluster.runUntil(settledMs + 15_000);
        const later = cluster.control.leaseHistory.slice(assigned);
        assert.ok(later.length > 0);
        assert.ok(later.every(({ atMs }) => atMs >= officeMs + 4_500), "reassigned too early");
        const moved = later.map(({ assignment }) => assignment.resourceId);
        assert.equal(new Set(moved).size, moved.length, "a living holder lost a lease");
        assertSafe(cluster);
    });

    it("reassigns the leases of a silent instance no earlier than 3.5 s after its last answer", () => {
        const cluster = settledCluster();
        const assigned = cluster.control.leaseHistory.length;
        const holder = cluster.processes.find(process =>
            process !== cluster.control.leader && process.validLeases().size > 0
        )!;
        holder.partitioned = true;
        cluster.runUntil(settledMs + 8_000);
        const [first] = cluster.control.leaseHistory.slice(assigned);
        assert.ok(first!.atMs >= settledMs - 500 + 3_500, `reassigned at ${first!.atMs}`);
        assertSafe(cluster);
    });

    it("does not share the leases of a frozen process with its restarted successor", () => {
        const cluster = settledCluster();
        const frozen = cluster.processes.find(process =>
            process !== cluster.control.leader && process.validLeases().size > 0
        )!;
        frozen.frozenUntilMs = settledMs + 2_000;
        cluster.startProcess(frozen.instanceId, frozen.dataCentre);
        cluster.runUntil(settledMs + 10_000);
        assertSafe(cluster);
    });
});

const Fault = {
    KillInstance: "kill_instance",
    FreezeInstance: "freeze_instance",
    CutInstance: "cut_instance",
    RestartInstance: "restart_instance",
    KillDatabase: "kill_database",
    CutDatabase: "cut_database",
    ChangePrimary: "change_primary",
    DrainInstance: "drain_instance",
} as const;

interface Event {
    readonly fault: typeof Fault[keyof typeof Fault];
    readonly index: number;
    readonly delayMs: number;
    readonly lastingMs: number;
}

const eventArbitrary = fc.record({
    fault: fc.constantFrom(...Object.values(Fault)),
    index: fc.nat(8),
    delayMs: fc.integer({ min: 0, max: 4_000 }),
    lastingMs: fc.integer({ min: 200, max: 12_000 }),
});

/** Starts one fault; it ends after its time, so that majorities return. */
function inject(cluster: SimulatedCluster, event: Event): void {
    const instanceId = `i${event.index}`;
    const process = cluster.process(instanceId);
    const database = cluster.databases[event.index % cluster.databases.length]!;
    const end = cluster.time.nowMs + event.lastingMs;
    const restart = (): void => {
        if (cluster.process(instanceId) === undefined) {
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
            cluster.time.at(cluster.time.nowMs + (event.fault === Fault.DrainInstance ? 1_000 : 0), () => {
                if (process !== undefined) {
                    process.alive = false;
                }
            });
            cluster.time.at(end + 1_000, restart);
            break;
        case Fault.FreezeInstance:
            if (process !== undefined) {
                process.frozenUntilMs = end;
            }
            break;
        case Fault.CutInstance:
            if (process !== undefined) {
                process.partitioned = true;
                cluster.time.at(end, () => process.partitioned = false);
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
            cluster.time.at(end, () => database.alive = true);
            break;
        case Fault.CutDatabase:
            database.partitioned = true;
            cluster.time.at(end, () => database.partitioned = false);
            break;
        case Fault.ChangePrimary:
            cluster.control.leader?.loop.post({ kind: HealthKind.ChangePrimary, groupId: database.groupId } as never);
            break;
    }
}

describe("failover over generated faults", () => {
    it("never shares a lease, loses an acknowledged write or agrees on two primaries of a term", () => {
        const clusters = fc.record({
            seed: fc.nat(1_000_000),
            events: fc.array(eventArbitrary, { minLength: 1, maxLength: 8 }),
        });
        fc.assert(
            fc.property(clusters, ({ seed, events }) => {
                const cluster = new SimulatedCluster({ seed, instances: 9, groups: 2, drift: 0.1, disorder: 0.05 });
                cluster.runUntil(8_000);
                for (const event of events) {
                    cluster.runUntil(cluster.time.nowMs + event.delayMs);
                    inject(cluster, event);
                }
                cluster.runUntil(cluster.time.nowMs + 45_000);
                assertSafe(cluster);
                for (const groupId of ["g0", "g1"]) {
                    const last = cluster.acknowledged.get(groupId)?.at(-1);
                    assert.ok(
                        last !== undefined && last.atMs > cluster.time.nowMs - 3_000,
                        `${groupId} does not write again`,
                    );
                }
            }),
            { seed: 20_260_601, numRuns: 25, endOnFailure },
        );
    });

    it("closes the gap within 13 s for every single loss beside a majority of control and of the group", () => {
        const losses = fc.record({
            seed: fc.nat(1_000_000),
            leader: fc.boolean(),
            holder: fc.boolean(),
            freeze: fc.boolean(),
            cutDataCentre: fc.boolean(),
        });
        fc.assert(
            fc.property(losses, ({ seed, leader, holder, freeze, cutDataCentre }) => {
                const cluster = settledCluster({ seed, drift: 0.1 });
                const lost = [
                    leader ? cluster.control.leader! : undefined,
                    holder ? cluster.holderOf("g0d0")! : undefined,
                ]
                    .filter(process => process !== undefined);
                lost.forEach(process => {
                    process.alive = freeze;
                    process.frozenUntilMs = Infinity;
                });
                const north = cluster.processes.filter(process => process.dataCentre === "north");
                north.filter(() => cutDataCentre && !leader).forEach(process => process.partitioned = true);
                cluster.database("g0d0").partitioned = cutDataCentre;
                cluster.database("g0d0").alive = cutDataCentre;
                cluster.runUntil(settledMs + 25_000);
                const gapMs = longestGapMs(cluster, "g0", settledMs - 100, settledMs + 25_000);
                assert.ok(gapMs < 13_000, `gap of ${gapMs} ms`);
                assertSafe(cluster);
            }),
            { seed: 20_260_602, numRuns: 20, endOnFailure },
        );
    });
});
