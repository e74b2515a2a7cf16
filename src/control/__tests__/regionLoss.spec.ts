import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type Command, CommandKind, ProposalStatus } from "../../model/controlMessages.ts";
import { commitQuorum, faultTolerantSize } from "../quorums.ts";
import { FakeCluster } from "./fakeCluster.ts";

/** The users' limits `recovery_s` and `catch_up_s`. */
const recoveryLimitMs = 15_000;
const catchUpLimitMs = 6_000;

/** Six members in six data centres of three regions; the settings name one member of each region. */
const memberIds = ["m0", "m1", "m2", "m3", "m4", "m5"];
const faultTolerance = 2;
const regions = [["m0", "m3"], ["m1", "m4"], ["m2", "m5"]];
const pairs = memberIds.flatMap((left, index) => memberIds.slice(index + 1).map(right => [left, right]));

const seeds = Array.from({ length: Number(process.env["REGION_LOSS_RUNS"] ?? 4) }, (_, index) => index + 1);

function setWorkspace(name: string): Command {
    return {
        kind: CommandKind.SetWorkspace,
        expectedVersion: 0,
        workspace: { name, ratePerSecond: 10, burst: 20, keyValidityMs: 10_000 },
    };
}

class RegionCluster {
    readonly cluster: FakeCluster;
    private readonly proposed: string[] = [];

    constructor(seed: number) {
        this.cluster = new FakeCluster(6, seed, { seedCount: 3, faultTolerance, snapshotEntries: 32 });
        this.cluster.runUntil("six members", () => this.cluster.members.length === 6, recoveryLimitMs);
        this.acknowledge();
    }

    /** Proposes changes until one is acknowledged. */
    acknowledge(): void {
        const { cluster } = this;
        const names: string[] = [];
        cluster.runUntil("an acknowledgement", () => {
            const name = `w${this.proposed.length}`;
            names.push(name);
            this.proposed.push(name);
            memberIds.filter(id => cluster.isRunning(id)).forEach(id =>
                cluster.propose(id, name, name, setWorkspace(name))
            );
            return names.some(proposed => this.isAcknowledged(proposed));
        }, recoveryLimitMs);
    }

    /** Takes the disks of members at once, and the power of all others if `allDown`. */
    lose(lost: readonly string[], allDown: boolean): void {
        const { cluster } = this;
        memberIds.filter(id => allDown || lost.includes(id)).forEach(id => cluster.losePower(id));
        lost.forEach(id => cluster.eraseDisk(id));
        if (allDown) {
            cluster.run(1_500);
            memberIds.filter(id => !lost.includes(id)).forEach(id => cluster.start(id));
        }
    }

    /** Starts the lost members with empty disks, and waits until they are members again. */
    restore(lost: readonly string[]): void {
        lost.forEach(id => this.cluster.start(id));
        this.cluster.runUntil("all are members", () => this.cluster.allNodesAreMembers(), 2 * catchUpLimitMs);
    }

    awaitLeader(running: readonly string[]): void {
        this.cluster.runUntil("a leader", () => {
            const leader = this.cluster.leader()?.memberId;
            return leader !== undefined && running.includes(leader);
        }, recoveryLimitMs);
    }

    /** Acknowledged changes that the leader does not have. */
    lostChanges(): readonly string[] {
        const held = new Set(this.cluster.leader()!.configuration?.workspaces.map(({ name }) => name));
        return this.proposed.filter(name => this.isAcknowledged(name) && !held.has(name));
    }

    private isAcknowledged(name: string): boolean {
        return this.cluster.results.get(name)?.some(({ status }) => status === ProposalStatus.Applied) === true;
    }
}

describe("six control members in three regions", () => {
    it("leave a majority, and a copy of each committed entry, whichever two are lost", () => {
        const members = memberIds.map(memberId => ({ memberId, address: `${memberId}:1`, incarnation: "1" }));
        const quorum = commitQuorum(members, faultTolerance);
        assert.equal(quorum, 4);
        assert.ok(members.length - faultTolerance >= quorum);
        // A leader needs the votes of four; at most two of the four that are left lack a committed entry.
        assert.ok(quorum - faultTolerance > members.length - faultTolerance - quorum);
        assert.ok(members.length >= faultTolerantSize(faultTolerance));
    });

    for (const allDown of [false, true]) {
        it(`keep what they acknowledged when two disks are lost at once${allDown ? " and all lose power" : ""}`, () => {
            for (const lost of pairs) {
                for (const seed of seeds) {
                    const fleet = new RegionCluster(seed);
                    const running = memberIds.filter(id => !lost.includes(id));
                    fleet.lose(lost, allDown);
                    fleet.awaitLeader(running);
                    assert.deepEqual(fleet.lostChanges(), [], `${lost.join()}, seed ${seed}`);
                    fleet.acknowledge();
                    assert.deepEqual(fleet.lostChanges(), [], `${lost.join()}, seed ${seed}`);
                }
            }
        });
    }

    it("keep it when one region after the other loses its disks, each once the one before has caught up", () => {
        for (const seed of seeds) {
            const fleet = new RegionCluster(seed);
            for (const region of [...regions, ...regions]) {
                fleet.lose(region, false);
                fleet.awaitLeader(memberIds.filter(id => !region.includes(id)));
                fleet.acknowledge();
                fleet.restore(region);
                fleet.acknowledge();
                assert.deepEqual(fleet.lostChanges(), [], `seed ${seed}`);
            }
            fleet.lose(regions[0]!, true);
            fleet.awaitLeader(memberIds);
            assert.deepEqual(fleet.lostChanges(), [], `seed ${seed}`);
        }
    });

    it("go on while a region is cut off, and take it back", () => {
        for (const region of regions) {
            for (const seed of seeds) {
                const fleet = new RegionCluster(seed);
                const { cluster } = fleet;
                const others = memberIds.filter(id => !region.includes(id));
                region.forEach(id => others.forEach(other => cluster.breakLink(id, other)));
                cluster.run(4_000);
                fleet.awaitLeader(others);
                fleet.acknowledge();
                cluster.restoreLinks();
                cluster.runUntil("all are members", () => cluster.allNodesAreMembers(), 2 * catchUpLimitMs);
                assert.deepEqual(fleet.lostChanges(), [], `${region.join()}, seed ${seed}`);
            }
        }
    });
});
