import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ClusterKind, type DatabasesChanged } from "../../model/clusterMessages.ts";
import { announcementExpiryMs } from "../../model/database.ts";
import { HealthKind } from "../../model/healthMessages.ts";
import { dataCentreOf, World, type WorldOptions } from "./world.ts";

const settledMs = 12_000;

/** One world takes about 1 s, so that shrinking a failure would take minutes; its seed and events are printed. */
const endOnFailure = true;

function settledWorld(options: Partial<WorldOptions> = {}): World {
    const world = new World({ seed: 1, instances: 9, groups: 2, ...options });
    world.runUntil(settledMs);
    return world;
}

/** Longest time between two acknowledged writes of a group that both lie after `fromMs`, or its end at `untilMs`. */
function longestGapMs(world: World, groupId: string, fromMs: number, untilMs: number): number {
    const times = world.acknowledged.get(groupId)!.map(write => write.atMs).filter(atMs => atMs >= fromMs);
    return Math.max(...[...times, untilMs].map((atMs, index) => atMs - (times[index - 1] ?? fromMs)));
}

function assertSafe(world: World): void {
    assert.deepEqual(world.violations, [], "two instances held a valid lease for one resource");
    for (const [groupId, writes] of world.acknowledged) {
        const log = new Set(world.database(world.group(groupId)!.primaryId).log);
        const lost = writes.filter(write => !log.has(write.id));
        assert.deepEqual(lost, [], `acknowledged writes of ${groupId} are missing on its primary`);
    }
    const terms = world.control.groupHistory.map(({ group }) => `${group.groupId}/${group.term}/${group.primaryId}`);
    const primariesByTerm = new Map(terms.map(term => [term.slice(0, term.lastIndexOf("/")), term]));
    assert.equal(primariesByTerm.size, new Set(terms).size, "two primaries were agreed for one term");
}

function changesOf(world: World, groupId: string): readonly { readonly atMs: number; }[] {
    const terms = new Set<number>();
    return world.control.groupHistory.filter(({ group }) => {
        const isNew = group.groupId === groupId && group.term > 1 && !terms.has(group.term);
        terms.add(group.term);
        return isNew;
    });
}

/** Runs one case with drifting clocks and other orders of events. */
function overSeeds(name: string, run: (world: World) => void): void {
    it(name, () => {
        const seeds = fc.property(fc.nat(1_000_000), seed => run(settledWorld({ seed, drift: 0.1 })));
        fc.assert(seeds, { seed: 20_260_603, numRuns: 10, endOnFailure });
    });
}

describe("failover", () => {
    it("forms groups from announcements and gives each database a holder in its data centre", () => {
        const world = settledWorld();
        for (const database of world.databases) {
            assert.equal(world.holderOf(database.databaseId)?.dataCentre, database.dataCentre);
        }
        assert.equal(world.group("g0")?.primaryId, "g0d0");
        assert.equal(world.control.leaseHistory.length, 9, "six databases and three permit homes, assigned once each");
        assertSafe(world);
    });

    overSeeds("replaces a dead primary within 3 s when its holder lives", world => {
        world.database("g0d0").alive = false;
        world.runUntil(settledMs + 10_000);
        const gapMs = longestGapMs(world, "g0", settledMs - 100, settledMs + 10_000);
        assert.ok(gapMs < 3_000, `gap of ${gapMs} ms`);
        assert.equal(changesOf(world, "g0").length, 1);
        assert.equal(changesOf(world, "g1").length, 0);
        assertSafe(world);
    });

    for (const lost of ["holder", "control leader"] as const) {
        it(`replaces a dead primary within 13 s when the ${lost} is lost with it`, () => {
            const world = settledWorld();
            world.database("g0d0").alive = false;
            const process = lost === "holder" ? world.holderOf("g0d0")! : world.control.leader!;
            process.alive = false;
            world.runUntil(settledMs + 20_000);
            const gapMs = longestGapMs(world, "g0", settledMs - 100, settledMs + 20_000);
            assert.ok(gapMs < 13_000, `gap of ${gapMs} ms`);
            assertSafe(world);
        });
    }

    overSeeds("changes the primary as planned within 1 s and loses nothing", world => {
        world.control.leader!.loop.post({ kind: HealthKind.ChangePrimary, groupId: "g0" } as never);
        world.runUntil(settledMs + 10_000);
        const gapMs = longestGapMs(world, "g0", settledMs - 100, settledMs + 10_000);
        assert.equal(changesOf(world, "g0").length, 1);
        assert.ok(gapMs < 1_000, `gap of ${gapMs} ms`);
        assert.equal(world.database("g0d0").role, "replica");
        assertSafe(world);
    });

    it("lets 10 s pass between two planned changes of one group", () => {
        const world = settledWorld();
        const change = (): void =>
            world.control.leader!.loop.post({ kind: HealthKind.ChangePrimary, groupId: "g0" } as never);
        change();
        world.runUntil(settledMs + 4_000);
        change();
        world.runUntil(settledMs + 20_000);
        const [first, second] = changesOf(world, "g0");
        assert.ok(second!.atMs - first!.atMs >= 10_000, "second change came too soon");
    });

    it("promotes nobody for two failed probes or a primary whose position stands still", () => {
        const world = settledWorld();
        world.database("g0d0").cut = true;
        world.runUntil(settledMs + 500);
        world.database("g0d0").cut = false;
        world.databases.forEach(database => database.lagMs = 5_000);
        world.runUntil(settledMs + 10_000);
        assert.equal(changesOf(world, "g0").length, 0);
    });

    it("orders a returning old primary to follow", () => {
        const world = settledWorld();
        world.database("g0d0").alive = false;
        world.runUntil(settledMs + 5_000);
        world.database("g0d0").alive = true;
        world.runUntil(settledMs + 15_000);
        assert.equal(world.database("g0d0").role, "replica");
        assert.equal(changesOf(world, "g0").length, 1);
        assertSafe(world);
    });

    it("gives a silent or departing database no new work after 3 s", () => {
        const world = settledWorld();
        world.database("g0d1").alive = false;
        world.database("g1d1").departing = true;
        // The last announcement arrived 1 ms after it was sent, at `settledMs`.
        world.runUntil(settledMs + announcementExpiryMs + 2);
        for (const process of world.processes) {
            const changed = process.seen.findLast(message => message.kind === ClusterKind.DatabasesChanged);
            const views = (changed as DatabasesChanged).databases;
            const unavailable = views.filter(view => !view.available).map(view => view.databaseId).sort();
            assert.deepEqual(unavailable, ["g0d1", "g1d1"], `at ${process.instanceId}`);
        }
    });

    it("hands over leases at once on drain, without a change of primary", () => {
        const world = settledWorld();
        const holder = world.holderOf("g0d0")!;
        holder.loop.post({ kind: ClusterKind.DrainStarted, deadlineMs: 60_000 } as never);
        holder.holder.drain();
        world.runUntil(settledMs + 2_000);
        assert.notEqual(world.holderOf("g0d0"), holder);
        assert.equal(world.holderOf("g0d0")?.dataCentre, "north");
        assert.equal(changesOf(world, "g0").length, 0);
        assertSafe(world);
    });

    it("reassigns nothing in the first 4.5 s of a new leader and keeps all living holders", () => {
        const world = settledWorld();
        const assigned = world.control.leaseHistory.length;
        const holder = world.holderOf("g0d1")!;
        const leader = world.control.leader!;
        leader.alive = false;
        holder.alive = false;
        world.runUntil(settledMs + 1_700);
        const officeMs = settledMs + 1_500;
        world.runUntil(settledMs + 15_000);
        const later = world.control.leaseHistory.slice(assigned);
        assert.ok(later.length > 0);
        assert.ok(later.every(({ atMs }) => atMs >= officeMs + 4_500), "reassigned too early");
        const moved = later.map(({ assignment }) => assignment.resourceId);
        assert.equal(new Set(moved).size, moved.length, "a living holder lost a lease");
        assertSafe(world);
    });

    it("reassigns the leases of a silent instance no earlier than 3.5 s after its last answer", () => {
        const world = settledWorld();
        const assigned = world.control.leaseHistory.length;
        const holder = world.processes.find(process =>
            process !== world.control.leader && process.validLeases().size > 0
        )!;
        holder.cut = true;
        world.runUntil(settledMs + 8_000);
        const [first] = world.control.leaseHistory.slice(assigned);
        assert.ok(first!.atMs >= settledMs - 500 + 3_500, `reassigned at ${first!.atMs}`);
        assertSafe(world);
    });

    it("does not share the leases of a frozen process with its restarted successor", () => {
        const world = settledWorld();
        const frozen = world.processes.find(process =>
            process !== world.control.leader && process.validLeases().size > 0
        )!;
        frozen.frozenUntilMs = settledMs + 2_000;
        world.startProcess(frozen.instanceId, frozen.dataCentre);
        world.runUntil(settledMs + 10_000);
        assertSafe(world);
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
function inject(world: World, event: Event): void {
    const instanceId = `i${event.index}`;
    const process = world.process(instanceId);
    const database = world.databases[event.index % world.databases.length]!;
    const end = world.time.nowMs + event.lastingMs;
    const restart = (): void => {
        if (world.process(instanceId) === undefined) {
            world.startProcess(instanceId, dataCentreOf(event.index));
        }
    };
    switch (event.fault) {
        case Fault.KillInstance:
        case Fault.DrainInstance:
            if (event.fault === Fault.DrainInstance) {
                process?.loop.post({ kind: ClusterKind.DrainStarted, deadlineMs: Infinity } as never);
                process?.holder.drain();
            }
            world.time.at(world.time.nowMs + (event.fault === Fault.DrainInstance ? 1_000 : 0), () => {
                if (process !== undefined) {
                    process.alive = false;
                }
            });
            world.time.at(end + 1_000, restart);
            break;
        case Fault.FreezeInstance:
            if (process !== undefined) {
                process.frozenUntilMs = end;
            }
            break;
        case Fault.CutInstance:
            if (process !== undefined) {
                process.cut = true;
                world.time.at(end, () => process.cut = false);
            }
            break;
        case Fault.RestartInstance:
            if (process !== undefined) {
                process.frozenUntilMs = end;
                world.startProcess(instanceId, process.dataCentre);
            }
            break;
        case Fault.KillDatabase:
            database.alive = false;
            world.time.at(end, () => database.alive = true);
            break;
        case Fault.CutDatabase:
            database.cut = true;
            world.time.at(end, () => database.cut = false);
            break;
        case Fault.ChangePrimary:
            world.control.leader?.loop.post({ kind: HealthKind.ChangePrimary, groupId: database.groupId } as never);
            break;
    }
}

describe("failover over generated faults", () => {
    it("never shares a lease, loses an acknowledged write or agrees on two primaries of a term", () => {
        const worlds = fc.record({
            seed: fc.nat(1_000_000),
            events: fc.array(eventArbitrary, { minLength: 1, maxLength: 8 }),
        });
        fc.assert(
            fc.property(worlds, ({ seed, events }) => {
                const world = new World({ seed, instances: 9, groups: 2, drift: 0.1, disorder: 0.05 });
                world.runUntil(8_000);
                for (const event of events) {
                    world.runUntil(world.time.nowMs + event.delayMs);
                    inject(world, event);
                }
                world.runUntil(world.time.nowMs + 45_000);
                assertSafe(world);
                for (const groupId of ["g0", "g1"]) {
                    const last = world.acknowledged.get(groupId)?.at(-1);
                    assert.ok(
                        last !== undefined && last.atMs > world.time.nowMs - 3_000,
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
                const world = settledWorld({ seed, drift: 0.1 });
                const lost = [leader ? world.control.leader! : undefined, holder ? world.holderOf("g0d0")! : undefined]
                    .filter(process => process !== undefined);
                lost.forEach(process => {
                    process.alive = freeze;
                    process.frozenUntilMs = Infinity;
                });
                const north = world.processes.filter(process => process.dataCentre === "north");
                north.filter(() => cutDataCentre && !leader).forEach(process => process.cut = true);
                world.database("g0d0").cut = cutDataCentre;
                world.database("g0d0").alive = cutDataCentre;
                world.runUntil(settledMs + 25_000);
                const gapMs = longestGapMs(world, "g0", settledMs - 100, settledMs + 25_000);
                assert.ok(gapMs < 13_000, `gap of ${gapMs} ms`);
                assertSafe(world);
            }),
            { seed: 20_260_602, numRuns: 20, endOnFailure },
        );
    });
});
