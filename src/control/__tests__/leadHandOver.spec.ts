import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type Command, CommandKind, ControlKind, ProposalStatus } from "../../model/controlMessages.ts";
import { FakeCluster } from "./fakeCluster.ts";

const seeds = Array.from({ length: 20 }, (_, index) => 7_001 + index);

/** Time for which a disk takes no writes. */
const faultMs = 9_000;

/** Longest time without a leader while the lead is handed over: two message delays of 20 ms, a vote and a sync. */
const handOverLimitMs = 250;

/** Lengths of time for which the disks of all members stand still and then work, in turns. */
const stalls = [[800, 700], [1_200, 300], [2_400, 600], [2_400, 100]] as const;

/** The longest of these times without a disk, a vote and a round of messages. */
const stallLimitMs = 3_500;

/** As above, after the loss of the leader: two elections and the writes of one of them fall into other stalls. */
const electionLimitMs = 8_000;

/** The users' limit `catch_up_s` of a site with three members. */
const catchUpLimitMs = 4_000;

function setWorkspace(name: string): Command {
    return {
        kind: CommandKind.SetWorkspace,
        expectedVersion: 0,
        workspace: { name, ratePerSecond: 10, burst: 20, keyValidityMs: 10_000 },
    };
}

function formCluster(seed: number): FakeCluster {
    const cluster = new FakeCluster(3, seed, { faultTolerance: 1 });
    cluster.runUntil("a leader", () => cluster.leader() !== undefined && cluster.allNodesAreMembers());
    cluster.run(1_000);
    return cluster;
}

/** Proposes a change every 100 ms to the member that leads. Returns the names, in order. */
function proposeFor(cluster: FakeCluster, durationMs: number): readonly string[] {
    return Array.from({ length: durationMs / 100 }, () => {
        const name = `w${cluster.nowMs}`;
        const leader = cluster.leader();
        if (leader !== undefined) {
            cluster.propose(leader.memberId, name, name, setWorkspace(name));
        }
        cluster.run(100);
        return name;
    });
}

function isAcknowledged(cluster: FakeCluster, name: string): boolean {
    return cluster.results.get(name)?.some(({ status }) => status === ProposalStatus.Applied) === true;
}

/** Runs the cluster and returns the time for which no member led. */
function timeWithoutLeaderMs(cluster: FakeCluster, durationMs: number): number {
    let withoutLeaderMs = 0;
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 10) {
        cluster.run(10);
        withoutLeaderMs += cluster.leader() === undefined ? 10 : 0;
    }
    return withoutLeaderMs;
}

describe("a member that stops", () => {
    it("hands the lead over within a quarter of a second, and is not elected again", () => {
        for (const seed of seeds) {
            const cluster = formCluster(seed);
            const former = cluster.leader()!;
            cluster.post(former.memberId, { kind: ControlKind.StopAnnounced });
            const withoutLeaderMs = timeWithoutLeaderMs(cluster, 1_000);
            assert.ok(withoutLeaderMs <= handOverLimitMs, `seed ${seed}: ${withoutLeaderMs} ms without a leader`);
            const successor = cluster.leader()!;
            assert.notEqual(successor.memberId, former.memberId, `seed ${seed}`);
            cluster.losePower(successor.memberId);
            cluster.run(5_000);
            assert.notEqual(cluster.leader()?.memberId, former.memberId, `seed ${seed}: elected while it stops`);
        }
    });

    it("goes on leading while no other member can take over", () => {
        const cluster = formCluster(seeds[0]!);
        const leader = cluster.leader()!;
        [...cluster.nodes.values()].filter(node => node !== leader).forEach(({ disk }) => disk.stalled = true);
        cluster.post(leader.memberId, { kind: ControlKind.StopAnnounced });
        assert.equal(timeWithoutLeaderMs(cluster, 500), 0);
        assert.equal(cluster.leader()?.memberId, leader.memberId);
    });
});

describe("a member whose disk takes no writes", () => {
    it("hands the lead over within a quarter of a second, and changes go on", () => {
        for (const seed of seeds) {
            const cluster = formCluster(seed);
            const former = cluster.leader()!;
            former.disk.stalled = true;
            cluster.propose(former.memberId, "first", "first", setWorkspace("first"));
            cluster.runUntil("the report of the disk", () => former.disk.suspended);
            const withoutLeaderMs = timeWithoutLeaderMs(cluster, 2_000);
            assert.notEqual(cluster.leader()?.memberId, former.memberId, `seed ${seed}`);
            assert.ok(withoutLeaderMs <= handOverLimitMs, `seed ${seed}: ${withoutLeaderMs} ms without a leader`);
            const names = proposeFor(cluster, faultMs - 2_500);
            cluster.run(500);
            const missing = names.filter(name => !isAcknowledged(cluster, name));
            assert.deepEqual(missing, [], `seed ${seed}`);
        }
    });

    it("neither stands nor lets others stand, and takes part again from what it holds", () => {
        for (const seed of seeds) {
            const cluster = formCluster(seed);
            const leader = cluster.leader()!;
            const full = [...cluster.nodes.values()].find(node => node !== leader)!;
            const other = [...cluster.nodes.values()].find(node => node !== leader && node !== full)!;
            full.disk.stalled = true;
            const names = proposeFor(cluster, faultMs);
            assert.equal(cluster.leader()?.memberId, leader.memberId, `seed ${seed}: the leader changed`);
            assert.equal(cluster.leader()?.leaderView?.term, leader.leaderView?.term, `seed ${seed}`);
            assert.deepEqual(names.filter(name => !isAcknowledged(cluster, name)), [], `seed ${seed}`);
            full.disk.stalled = false;
            cluster.run(catchUpLimitMs);
            // Two members are a majority only if the one whose disk was full takes part.
            cluster.losePower(other.memberId);
            const later = proposeFor(cluster, 1_000);
            cluster.run(500);
            assert.deepEqual(later.filter(name => !isAcknowledged(cluster, name)), [], `seed ${seed}: after the fault`);
        }
    });
});

describe("members whose disks stand still again and again", () => {
    it("keep their leader, and acknowledge each change after the next stall", () => {
        // Guards against a configuration that operators cannot get acknowledged for 15 s.
        for (const [stallMs, pauseMs] of stalls) {
            for (const seed of seeds) {
                const cluster = formCluster(seed);
                const { memberId, leaderView } = cluster.leader()!;
                const worstMs = longestChangeMs(cluster, { stallMs, pauseMs, durationMs: 20_000 });
                const run = `seed ${seed}, ${stallMs} of ${stallMs + pauseMs} ms`;
                assert.ok(worstMs <= stallLimitMs, `${run}: ${worstMs} ms`);
                assert.equal(cluster.leader()?.memberId, memberId, run);
                assert.equal(cluster.leader()?.leaderView?.term, leaderView?.term, run);
            }
        }
    });

    it("elect a leader in place of a lost one, and acknowledge changes", () => {
        // Guards against elections in a row, each of which discards the votes of the one before.
        for (const [stallMs, pauseMs] of stalls) {
            for (const seed of seeds) {
                const cluster = formCluster(seed);
                cluster.losePower(cluster.leader()!.memberId);
                const worstMs = longestChangeMs(cluster, { stallMs, pauseMs, durationMs: 20_000 });
                assert.ok(
                    worstMs <= electionLimitMs,
                    `seed ${seed}, ${stallMs} of ${stallMs + pauseMs} ms: ${worstMs} ms`,
                );
            }
        }
    });

    it("leave the list when they do not sync at all, though they answer", () => {
        const cluster = new FakeCluster(5, 1, { faultTolerance: 1, seedCount: 3 });
        cluster.runUntil("five members", () => cluster.leader() !== undefined && cluster.allNodesAreMembers());
        const stalled = [...cluster.nodes.values()].find(node => node !== cluster.leader())!;
        stalled.disk.stalled = true;
        proposeFor(cluster, 100);
        cluster.run(5_000);
        assert.ok(!cluster.members.some(({ memberId }) => memberId === stalled.memberId));
    });
});

/** Lets the disks of all members stand still in turns. Returns the longest time until a change was acknowledged. */
function longestChangeMs(
    cluster: FakeCluster,
    { stallMs, pauseMs, durationMs }: {
        readonly stallMs: number;
        readonly pauseMs: number;
        readonly durationMs: number;
    },
): number {
    const waiting = new Map<string, number>();
    let worstMs = 0;
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 100) {
        const isStalled = elapsedMs % (stallMs + pauseMs) < stallMs;
        cluster.nodes.forEach(({ disk }) => disk.stalled = isStalled);
        if (elapsedMs % 600 === 0) {
            waiting.set(`w${cluster.nowMs}`, cluster.nowMs);
        }
        const leader = elapsedMs % 500 === 0 ? cluster.leader() : undefined;
        for (const [name, sinceMs] of waiting) {
            worstMs = Math.max(worstMs, cluster.nowMs - sinceMs);
            if (isAcknowledged(cluster, name)) {
                waiting.delete(name);
            }
            else if (leader !== undefined) {
                cluster.propose(leader.memberId, name, name, setWorkspace(name));
            }
        }
        cluster.run(100);
    }
    return worstMs;
}
