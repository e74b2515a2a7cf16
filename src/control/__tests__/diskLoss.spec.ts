import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type Command, CommandKind, ProposalStatus } from "../../model/controlMessages.ts";
import { SeededRandom } from "../../pipeline/seededRandom.ts";
import { FakeCluster, noFaults } from "./fakeCluster.ts";

/** The users' limits `recovery_s` and `catch_up_s`. */
const recoveryLimitMs = 15_000;
const catchUpLimitMs = 6_000;

/** The limit `catch_up_s` of sites with three members. */
const threeMemberCatchUpLimitMs = 4_000;

const finalOutageMs = 1_500;

/** Number of latest changes that may not have been answered yet. */
const checkedProposals = 40;

/** Spreads consecutive seeds, whose first random numbers would otherwise be similar. */
const seedMultiplier = 0x9e3779b1;

const runs = Number(process.env["DISK_LOSS_RUNS"] ?? 30);
const firstSeed = Number(process.env["DISK_LOSS_SEED"] ?? 1);

interface Deployment {
    readonly size: number;
    readonly seedCount: number;
    readonly faultTolerance: number;
}

const deployments: readonly Deployment[] = [
    { size: 3, seedCount: 3, faultTolerance: 1 },
    { size: 6, seedCount: 3, faultTolerance: 2 },
];

function setWorkspace(name: string): Command {
    return {
        kind: CommandKind.SetWorkspace,
        expectedVersion: 0,
        workspace: { name, ratePerSecond: 10, burst: 20, keyValidityMs: 10_000 },
    };
}

/** A cluster whose machines fail and are replaced, with the changes that it acknowledged. */
class DeployedCluster {
    readonly cluster: FakeCluster;
    private readonly deployment: Deployment;
    private readonly random: SeededRandom;
    private readonly proposed: string[] = [];
    /** Time until which a machine counts as lost, including the time to catch up; Infinity while it is down. */
    private readonly lostUntilMs = new Map<string, number>();
    private readonly scheduled: { readonly atMs: number; readonly run: () => void; }[] = [];
    private nextMachine: number;
    /** Time until which the machines may have no majority. */
    private noMajorityUntilMs = 0;
    private readonly checkedNames = new Set<string>();

    constructor(deployment: Deployment, seed: number) {
        this.deployment = deployment;
        this.random = new SeededRandom(seed);
        this.nextMachine = deployment.size;
        const { size, seedCount, faultTolerance } = deployment;
        this.cluster = new FakeCluster(size, seed, { seedCount, faultTolerance, snapshotEntries: 64 });
    }

    get machines(): readonly string[] {
        return [...this.cluster.nodes.keys()];
    }

    /** Runs the cluster while an operator proposes a change every 200 ms. */
    run(durationMs: number): void {
        for (const endMs = this.cluster.nowMs + durationMs; this.cluster.nowMs < endMs;) {
            if (this.cluster.nowMs % 200 === 0) {
                this.propose();
            }
            this.cluster.run(10);
            this.checkCopyCounts();
            this.scheduled.filter(({ atMs }) => atMs <= this.cluster.nowMs).forEach(entry => {
                this.scheduled.splice(this.scheduled.indexOf(entry), 1);
                entry.run();
            });
        }
    }

    propose(): string {
        const name = `w${this.proposed.length}`;
        this.proposed.push(name);
        this.cluster.nodes.forEach(({ memberId }) => this.cluster.propose(memberId, name, name, setWorkspace(name)));
        return name;
    }

    isAcknowledged(name: string): boolean {
        return this.cluster.results.get(name)?.some(({ status }) => status === ProposalStatus.Applied) === true;
    }

    lostMachines(): readonly string[] {
        return this.machines.filter(id => (this.lostUntilMs.get(id) ?? -Infinity) > this.cluster.nowMs);
    }

    /** Whether the list of members contains the machine with its current disk. */
    isMember(machine: string): boolean {
        const { incarnation } = this.cluster.nodes.get(machine)!.disk;
        return this.cluster.members.some(member => member.memberId === machine && member.incarnation === incarnation);
    }

    /** Picks a machine whose loss is still tolerated; undefined if there is none. */
    pickMachine(): string | undefined {
        const lost = this.lostMachines();
        const available = this.machines.filter(id => !lost.includes(id));
        return lost.length >= this.deployment.faultTolerance
            ? undefined
            : available[this.random.nextInteger(available.length)];
    }

    powerOff(machine: string, downMs: number): void {
        this.markLost(machine, downMs, () => this.cluster.start(machine));
        this.cluster.losePower(machine);
    }

    wipe(machine: string, downMs: number): void {
        this.powerOff(machine, downMs);
        this.cluster.eraseDisk(machine);
    }

    isolate(machine: string, durationMs: number): void {
        this.markLost(machine, durationMs, () => this.cluster.setIsolated(machine, false));
        this.cluster.setIsolated(machine, true);
    }

    stallDisk(machine: string, durationMs: number): void {
        this.markLost(machine, durationMs, () => {
            this.cluster.nodes.get(machine)!.disk.stalled = false;
        });
        this.cluster.nodes.get(machine)!.disk.stalled = true;
    }

    /** Replaces a machine permanently by one with an empty disk at another address. */
    replace(machine: string): void {
        const successor = `m${this.nextMachine++}`;
        this.cluster.remove(machine);
        this.lostUntilMs.delete(machine);
        this.cluster.addNode(successor);
        this.lostUntilMs.set(successor, this.catchUpDeadlineMs());
        this.cluster.setSeeds(this.machines.slice(0, this.deployment.seedCount));
    }

    /** Stops all processes, or cuts the power of all machines, and starts them within a second. */
    restartAll(losesPower: boolean): void {
        const running = this.machines.filter(id => this.cluster.isRunning(id));
        running.forEach(id => losesPower ? this.cluster.losePower(id) : this.cluster.kill(id));
        this.scheduled.push({
            atMs: this.cluster.nowMs + 800,
            run: () => running.forEach(id => this.cluster.start(id)),
        });
        this.recordMajorityLoss(800);
    }

    /** Splits the network into two halves. */
    split(durationMs: number): void {
        const firstHalf = this.machines.filter((_, index) => index % 2 === 0);
        const secondHalf = this.machines.filter((_, index) => index % 2 === 1);
        firstHalf.forEach(left => secondHalf.forEach(right => this.cluster.breakLink(left, right)));
        this.scheduled.push({ atMs: this.cluster.nowMs + durationMs, run: () => this.cluster.restoreLinks() });
        this.recordMajorityLoss(durationMs);
    }

    /** Drops and duplicates messages, which is harsher than real links: these only delay messages. */
    dropMessages(dropShare: number, durationMs: number): void {
        this.cluster.faults = { ...noFaults, dropShare, duplicateShare: 0.1 };
        const end = (): void => {
            this.cluster.faults = noFaults;
        };
        this.scheduled.push({ atMs: this.cluster.nowMs + durationMs, run: end });
        this.recordMajorityLoss(durationMs);
    }

    rollingRestart(gapMs: number): void {
        const { cluster } = this;
        this.machines.forEach((machine, index) => {
            const atMs = cluster.nowMs + index * gapMs;
            const restart = (): void => {
                if (cluster.isRunning(machine)) {
                    cluster.kill(machine);
                    this.scheduled.push({ atMs: cluster.nowMs + 300, run: () => cluster.start(machine) });
                }
            };
            this.scheduled.push({ atMs, run: restart });
        });
    }

    /** Runs until no machine counts as lost. */
    recover(): void {
        for (let round = 0; round < 600 && (this.lostMachines().length > 0 || this.scheduled.length > 0); round++) {
            this.run(100);
        }
    }

    /** Wipes as many disks as are tolerated right after an acknowledgement, while all other machines lose power. */
    finalFault(): void {
        const { cluster, deployment } = this;
        const name = this.acknowledge("before the final fault");
        const wipeTargets = [cluster.leader()?.memberId, ...this.machinesWith(name)].filter(id => id !== undefined);
        const wiped = [...new Set(wipeTargets)].slice(0, deployment.faultTolerance);
        this.machines.forEach(id => cluster.losePower(id));
        wiped.forEach(id => cluster.eraseDisk(id));
        cluster.run(finalOutageMs);
        this.machines.forEach(id => cluster.start(id));
        cluster.runUntil("a leader after the final fault", () => cluster.leader() !== undefined, recoveryLimitMs);
    }

    /** Acknowledged changes that are missing on the leader. */
    lostChanges(): readonly string[] {
        const held = new Set(this.cluster.leader()!.configuration?.workspaces.map(({ name }) => name));
        return this.proposed.filter(name => this.isAcknowledged(name) && !held.has(name));
    }

    acknowledge(when: string): string {
        const { cluster } = this;
        const names: string[] = [];
        for (const endMs = cluster.nowMs + recoveryLimitMs; !names.some(name => this.isAcknowledged(name));) {
            assert.equal(cluster.nowMs < endMs, true, `no acknowledgement ${when}`);
            if (cluster.nowMs % 200 === 0) {
                names.push(this.propose());
            }
            cluster.run(10);
        }
        return names.find(name => this.isAcknowledged(name))!;
    }

    private markLost(machine: string, downMs: number, restore: () => void): void {
        this.lostUntilMs.set(machine, Infinity);
        const atMs = this.cluster.nowMs + downMs;
        this.scheduled.push({
            atMs,
            run: () => {
                this.lostUntilMs.set(machine, this.catchUpDeadlineMs());
                restore();
            },
        });
    }

    private catchUpDeadlineMs(): number {
        return Math.max(this.cluster.nowMs, this.noMajorityUntilMs) + catchUpLimitMs;
    }

    // A lost machine cannot catch up while there is no majority.
    private recordMajorityLoss(durationMs: number): void {
        this.noMajorityUntilMs = Math.max(this.noMajorityUntilMs, this.cluster.nowMs + durationMs);
        const endMs = this.catchUpDeadlineMs();
        this.lostMachines().forEach(id => this.lostUntilMs.set(id, Math.max(endMs, this.lostUntilMs.get(id)!)));
    }

    /** Checks that each acknowledged change is synced on more disks than may still be lost. */
    private checkCopyCounts(): void {
        const { deployment } = this;
        const newlyAcknowledged = this.proposed.slice(-checkedProposals)
            .filter(name => !this.checkedNames.has(name) && this.isAcknowledged(name));
        for (const name of newlyAcknowledged) {
            this.checkedNames.add(name);
            const copies = this.machinesWith(name).length;
            const remainingTolerance = deployment.faultTolerance - this.lostMachines().length;
            assert.equal(copies > remainingTolerance, true, `${name} was acknowledged on ${copies} disks`);
        }
    }

    private machinesWith(name: string): readonly string[] {
        const { nodes } = this.cluster;
        return this.machines.filter(id => {
            const { entries, snapshot } = nodes.get(id)!.disk;
            return JSON.stringify([entries, snapshot]).includes(`"${name}"`);
        });
    }
}

const FaultKind = {
    None: "none",
    PowerOff: "power_off",
    Wipe: "wipe",
    Isolate: "isolate",
    Replace: "replace",
    RestartAll: "restart_all",
    PowerOffAll: "power_off_all",
    RollingRestart: "rolling_restart",
    Split: "split",
    SlowNetwork: "slow_network",
    LossyNetwork: "lossy_network",
    StalledDisk: "stalled_disk",
} as const;
type FaultKind = typeof FaultKind[keyof typeof FaultKind];

const faultKinds = Object.values(FaultKind);

function injectFault(testCluster: DeployedCluster, fault: FaultKind, random: SeededRandom): void {
    const machine = testCluster.pickMachine();
    switch (fault) {
        case FaultKind.RestartAll:
        case FaultKind.PowerOffAll:
            return testCluster.restartAll(fault === FaultKind.PowerOffAll);
        case FaultKind.RollingRestart:
            return testCluster.rollingRestart(500 + random.nextInteger(2_000));
        case FaultKind.Split:
            return testCluster.split(500 + random.nextInteger(5_000));
        case FaultKind.SlowNetwork:
            testCluster.cluster.faults = { ...noFaults, maximumDelayMs: 20 + random.nextInteger(80), diskDelayMs: 20 };
            return;
        case FaultKind.LossyNetwork:
            return testCluster.dropMessages(random.nextFloat() * 0.2, 500 + random.nextInteger(5_000));
        case FaultKind.None:
            testCluster.cluster.faults = noFaults;
            return;
    }
    if (machine === undefined) {
        return;
    }
    switch (fault) {
        case FaultKind.PowerOff:
            return testCluster.powerOff(machine, 500 + random.nextInteger(8_000));
        case FaultKind.Wipe:
            return testCluster.wipe(machine, 500 + random.nextInteger(3_000));
        case FaultKind.Isolate:
            return testCluster.isolate(machine, 500 + random.nextInteger(8_000));
        case FaultKind.StalledDisk:
            return testCluster.stallDisk(machine, 500 + random.nextInteger(5_000));
        case FaultKind.Replace:
            return testCluster.replace(machine);
    }
}

/** @returns a description of the failure and of the faults that led to it, or undefined */
function runScenario(deployment: Deployment, seed: number): string | undefined {
    const random = new SeededRandom(Math.imul(seed, seedMultiplier));
    const testCluster = new DeployedCluster(deployment, seed);
    const injected: string[] = [];
    try {
        testCluster.run(12_000);
        for (let count = 4 + random.nextInteger(8); count > 0; count--) {
            const fault = faultKinds[random.nextInteger(faultKinds.length)]!;
            injected.push(`${testCluster.cluster.nowMs} ${fault}`);
            injectFault(testCluster, fault, random);
            testCluster.run(100 + random.nextInteger(4_000));
        }
        testCluster.recover();
        testCluster.finalFault();
        testCluster.acknowledge("after the final fault");
        const lost = testCluster.lostChanges();
        return lost.length === 0 ? undefined : `seed ${seed}: lost ${lost.join()} after ${injected.join("; ")}`;
    }
    catch (error) {
        const members = testCluster.cluster.members.map(({ memberId }) => memberId).join();
        return `seed ${seed}: ${(error as Error).message}; members ${members}; after ${injected.join("; ")}`;
    }
}

describe("disk loss", () => {
    it("forms a cluster with more members than the settings name if the fault tolerance requires them", () => {
        const cluster = new FakeCluster(6, 1, { seedCount: 3, faultTolerance: 2 });
        cluster.runUntil("a first list", () => cluster.members.length > 0, 3_000);
        assert.equal(cluster.members.length >= 5, true, `${cluster.members.length} members`);
    });

    it("forms a cluster with the members that the settings name if there are no others", () => {
        const cluster = new FakeCluster(3, 1, { seedCount: 3, faultTolerance: 2 });
        cluster.runUntil("a leader", () => cluster.leader() !== undefined, 6_000);
        assert.equal(cluster.members.length, 3);
    });

    it("lets a wiped member join in time when the leader is not one of the members in its settings", () => {
        const failures: string[] = [];
        for (let seed = 1; seed <= 20; seed++) {
            const testCluster = new DeployedCluster({ size: 6, seedCount: 3, faultTolerance: 2 }, seed);
            const { cluster } = testCluster;
            testCluster.run(12_000);
            const leader = cluster.leader()!.memberId;
            testCluster.powerOff(leader, 1_000);
            testCluster.run(4_000);
            const wiped = ["m0", "m1", "m2"].find(id => id !== cluster.leader()!.memberId)!;
            testCluster.wipe(wiped, 500);
            testCluster.run(500 + catchUpLimitMs);
            failures.push(
                ...cluster.allNodesAreMembers() ? [] : [`seed ${seed}: leader ${cluster.leader()!.memberId}`],
            );
        }
        assert.deepEqual(failures, []);
    });

    it("removes a replaced member within the catch-up limit, also when the leader restarts", () => {
        const failures: string[] = [];
        for (let seed = 1; seed <= 20; seed++) {
            const testCluster = new DeployedCluster({ size: 3, seedCount: 3, faultTolerance: 1 }, seed);
            const { cluster } = testCluster;
            testCluster.run(12_000);
            const leader = cluster.leader()!.memberId;
            testCluster.replace(testCluster.machines.find(id => id !== leader)!);
            testCluster.run(1_000);
            cluster.kill(leader);
            testCluster.run(300);
            cluster.start(leader);
            testCluster.run(threeMemberCatchUpLimitMs);
            const listed = cluster.members.map(({ memberId }) => memberId).sort();
            failures.push(
                ...listed.join() === [...testCluster.machines].sort().join() ? [] : [`seed ${seed}: ${listed.join()}`],
            );
        }
        assert.deepEqual(failures, []);
    });

    it("removes replaced members whose successors joined before they counted as silent", () => {
        const testCluster = new DeployedCluster({ size: 6, seedCount: 3, faultTolerance: 2 }, 1);
        testCluster.run(12_000);
        for (const machine of ["m0", "m1", "m2"]) {
            testCluster.replace(machine);
            testCluster.run(catchUpLimitMs + 1_000);
        }
        const members = testCluster.cluster.members.map(({ memberId }) => memberId);
        assert.deepEqual([...members].sort(), [...testCluster.machines].sort());
        testCluster.finalFault();
        assert.deepEqual(testCluster.lostChanges(), []);
    });

    it("keeps more members than may be lost when two are silent and another returns with an empty disk", () => {
        const sizes = Array.from({ length: 20 }, (_, index) => {
            const testCluster = new DeployedCluster({ size: 6, seedCount: 3, faultTolerance: 2 }, index + 1);
            const { cluster } = testCluster;
            testCluster.run(12_000);
            const [first, silent, wiped] = testCluster.machines.filter(id => id !== cluster.leader()!.memberId);
            testCluster.powerOff(first!, 20_000);
            testCluster.run(4_500);
            testCluster.powerOff(silent!, 20_000);
            testCluster.run(2_900);
            testCluster.wipe(wiped!, 500);
            return Math.min(...Array.from({ length: 400 }, () => {
                testCluster.run(10);
                return cluster.members.length;
            }));
        });
        assert.equal(Math.min(...sizes), 4);
    });

    // Guards against members that do not rejoin. The faults are those of the users' scenario trouble-2 on grown sites.
    it("readmits all members before the final fault, after rolling restarts, a wiped disk and a power outage", () => {
        const failures: string[] = [];
        for (let seed = 1; seed <= 20; seed++) {
            const testCluster = new DeployedCluster({ size: 6, seedCount: 3, faultTolerance: 2 }, seed);
            const { cluster } = testCluster;
            testCluster.run(17_000);
            testCluster.wipe(testCluster.machines.find(id => id !== cluster.leader()?.memberId)!, 1_500);
            testCluster.rollingRestart(2_000);
            testCluster.run(10_500);
            testCluster.powerOff("m0", 7_000);
            testCluster.powerOff("m1", 7_000);
            testCluster.run(16_000);
            const missing = testCluster.machines.filter(id => !testCluster.isMember(id));
            testCluster.rollingRestart(1_180);
            testCluster.run(7_000);
            failures.push(...missing.length === 0 ? [] : [`seed ${seed}: ${missing.join()} away`]);
            try {
                testCluster.finalFault();
                failures.push(...testCluster.lostChanges().map(name => `seed ${seed}: ${name} lost`));
            }
            catch (error) {
                failures.push(`seed ${seed}: ${(error as Error).message}`);
            }
        }
        assert.deepEqual(failures, []);
    });

    for (const deployment of deployments) {
        const { size, faultTolerance } = deployment;
        // Guards against acknowledged changes on too few disks, and against surviving members without a majority.
        it(`keeps acknowledged changes when ${faultTolerance} of ${size} disks are lost after random faults`, () => {
            const failures = Array.from({ length: runs }, (_, index) => runScenario(deployment, firstSeed + index));
            assert.deepEqual(failures.filter(failure => failure !== undefined), []);
        });
    }
});
