import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type Command, CommandKind, ProposalStatus } from "../../model/controlMessages.ts";
import { SeededRandom } from "../../pipeline/seededRandom.ts";
import { FakeCluster, noFaults } from "./fakeCluster.ts";

/** From the users' bounds `recovery_s` and `catch_up_s`. */
const recoveryMs = 15_000;
const catchUpMs = 6_000;

/** The same bound on sites with three members. */
const threeMemberCatchUpMs = 4_000;

const finalDownMs = 1_500;

/** Changes that may still be without an answer. */
const recentProposals = 40;

/** Spreads neighbouring seeds, whose first numbers would otherwise be alike. */
const mixer = 0x9e3779b1;

const runs = Number(process.env["DISK_LOSS_RUNS"] ?? 30);
const firstSeed = Number(process.env["DISK_LOSS_SEED"] ?? 1);

interface Deployment {
    readonly size: number;
    readonly seedCount: number;
    readonly tolerance: number;
}

const deployments: readonly Deployment[] = [
    { size: 3, seedCount: 3, tolerance: 1 },
    { size: 6, seedCount: 3, tolerance: 2 },
];

function setWorkspace(name: string): Command {
    return {
        kind: CommandKind.SetWorkspace,
        expectedVersion: 0,
        workspace: { name, ratePerSecond: 10, burst: 20, keyValidityMs: 10_000 },
    };
}

/** A cluster on machines that come and go, and the changes that it has acknowledged. */
class Deployed {
    readonly cluster: FakeCluster;
    private readonly deployment: Deployment;
    private readonly random: SeededRandom;
    private readonly proposed: string[] = [];
    /** End of the time for which a machine counts as lost; Infinity while it is. */
    private readonly lostUntilMs = new Map<string, number>();
    private readonly due: { readonly atMs: number; readonly act: () => void; }[] = [];
    private nextMachine: number;
    /** End of the latest time for which the machines may have had no majority. */
    private suspendedUntilMs = 0;
    private readonly checked = new Set<string>();

    constructor(deployment: Deployment, seed: number) {
        this.deployment = deployment;
        this.random = new SeededRandom(seed);
        this.nextMachine = deployment.size;
        const { size, seedCount, tolerance } = deployment;
        this.cluster = new FakeCluster(size, seed, { seedCount, faultTolerance: tolerance, snapshotEntries: 64 });
    }

    get machines(): readonly string[] {
        return [...this.cluster.nodes.keys()];
    }

    /** Runs for a while beside an operator that sends a change every 200 ms. */
    run(durationMs: number): void {
        for (const endMs = this.cluster.nowMs + durationMs; this.cluster.nowMs < endMs;) {
            if (this.cluster.nowMs % 200 === 0) {
                this.propose();
            }
            this.cluster.run(10);
            this.checkCopies();
            this.due.filter(({ atMs }) => atMs <= this.cluster.nowMs).forEach(entry => {
                this.due.splice(this.due.indexOf(entry), 1);
                entry.act();
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

    /** The machine is on the list with the disk that it has. */
    isMember(machine: string): boolean {
        const { incarnation } = this.cluster.nodes.get(machine)!.disk;
        return this.cluster.members.some(member => member.memberId === machine && member.incarnation === incarnation);
    }

    /** A machine whose loss is still to be borne, if there is one. */
    pick(): string | undefined {
        const lost = this.lostMachines();
        const whole = this.machines.filter(id => !lost.includes(id));
        return lost.length >= this.deployment.tolerance ? undefined : whole[this.random.nextInteger(whole.length)];
    }

    powerOff(machine: string, downMs: number): void {
        this.lose(machine, downMs, () => this.cluster.start(machine));
        this.cluster.losePower(machine);
    }

    wipe(machine: string, downMs: number): void {
        this.powerOff(machine, downMs);
        this.cluster.eraseDisk(machine);
    }

    cutOff(machine: string, durationMs: number): void {
        this.lose(machine, durationMs, () => this.cluster.setIsolated(machine, false));
        this.cluster.setIsolated(machine, true);
    }

    stallDisk(machine: string, durationMs: number): void {
        this.lose(machine, durationMs, () => {
            this.cluster.nodes.get(machine)!.disk.stalled = false;
        });
        this.cluster.nodes.get(machine)!.disk.stalled = true;
    }

    /** Takes a machine away and adds an empty one at another address. */
    replace(machine: string): void {
        const successor = `m${this.nextMachine++}`;
        this.cluster.remove(machine);
        this.lostUntilMs.delete(machine);
        this.cluster.addNode(successor);
        this.lostUntilMs.set(successor, this.caughtUpMs());
        this.cluster.setSeeds(this.machines.slice(0, this.deployment.seedCount));
    }

    /** All processes end, or all machines lose power, and are back within a second. */
    restartAll(power: boolean): void {
        const running = this.machines.filter(id => this.cluster.isRunning(id));
        running.forEach(id => power ? this.cluster.losePower(id) : this.cluster.kill(id));
        this.due.push({ atMs: this.cluster.nowMs + 800, act: () => running.forEach(id => this.cluster.start(id)) });
        this.suspend(800);
    }

    /** Splits the machines into two halves. */
    split(durationMs: number): void {
        const half = this.machines.filter((_, index) => index % 2 === 0);
        const others = this.machines.filter((_, index) => index % 2 === 1);
        half.forEach(left => others.forEach(right => this.cluster.breakLink(left, right)));
        this.due.push({ atMs: this.cluster.nowMs + durationMs, act: () => this.cluster.restoreLinks() });
        this.suspend(durationMs);
    }

    /** Messages are lost, which on real links they are not: there they are late. */
    loseMessages(dropShare: number, durationMs: number): void {
        this.cluster.faults = { ...noFaults, dropShare, duplicateShare: 0.1 };
        const end = (): void => {
            this.cluster.faults = noFaults;
        };
        this.due.push({ atMs: this.cluster.nowMs + durationMs, act: end });
        this.suspend(durationMs);
    }

    restartInTurn(gapMs: number): void {
        const { cluster } = this;
        this.machines.forEach((machine, index) => {
            const atMs = cluster.nowMs + index * gapMs;
            const restart = (): void => {
                if (cluster.isRunning(machine)) {
                    cluster.kill(machine);
                    this.due.push({ atMs: cluster.nowMs + 300, act: () => cluster.start(machine) });
                }
            };
            this.due.push({ atMs, act: restart });
        });
    }

    /** Waits until no machine counts as lost. */
    recover(): void {
        for (let round = 0; round < 600 && (this.lostMachines().length > 0 || this.due.length > 0); round++) {
            this.run(100);
        }
    }

    /** Wipes as many disks as must be borne right after an acknowledgement, while all other machines lose power. */
    finalFault(): void {
        const { cluster, deployment } = this;
        const name = this.acknowledge("before the final fault");
        const aimed = [cluster.leader()?.memberId, ...this.holdersOf(name)].filter(id => id !== undefined);
        const wiped = [...new Set(aimed)].slice(0, deployment.tolerance);
        this.machines.forEach(id => cluster.losePower(id));
        wiped.forEach(id => cluster.eraseDisk(id));
        cluster.run(finalDownMs);
        this.machines.forEach(id => cluster.start(id));
        cluster.runUntil("a leader after the final fault", () => cluster.leader() !== undefined, recoveryMs);
    }

    /** Acknowledged changes that the leader lacks. */
    lostChanges(): readonly string[] {
        const held = new Set(this.cluster.leader()!.configuration?.workspaces.map(({ name }) => name));
        return this.proposed.filter(name => this.isAcknowledged(name) && !held.has(name));
    }

    acknowledge(when: string): string {
        const { cluster } = this;
        const names: string[] = [];
        for (const endMs = cluster.nowMs + recoveryMs; !names.some(name => this.isAcknowledged(name));) {
            assert.equal(cluster.nowMs < endMs, true, `no acknowledgement ${when}`);
            if (cluster.nowMs % 200 === 0) {
                names.push(this.propose());
            }
            cluster.run(10);
        }
        return names.find(name => this.isAcknowledged(name))!;
    }

    private lose(machine: string, downMs: number, back: () => void): void {
        this.lostUntilMs.set(machine, Infinity);
        const atMs = this.cluster.nowMs + downMs;
        this.due.push({
            atMs,
            act: () => {
                this.lostUntilMs.set(machine, this.caughtUpMs());
                back();
            },
        });
    }

    private caughtUpMs(): number {
        return Math.max(this.cluster.nowMs, this.suspendedUntilMs) + catchUpMs;
    }

    // What is lost can't catch up while there is no majority.
    private suspend(durationMs: number): void {
        this.suspendedUntilMs = Math.max(this.suspendedUntilMs, this.cluster.nowMs + durationMs);
        const endMs = this.caughtUpMs();
        this.lostMachines().forEach(id => this.lostUntilMs.set(id, Math.max(endMs, this.lostUntilMs.get(id)!)));
    }

    /** Every acknowledgement rests on more synced disks than may still be lost. */
    private checkCopies(): void {
        const { deployment } = this;
        const fresh = this.proposed.slice(-recentProposals)
            .filter(name => !this.checked.has(name) && this.isAcknowledged(name));
        for (const name of fresh) {
            this.checked.add(name);
            const copies = this.holdersOf(name).length;
            const stillBorne = deployment.tolerance - this.lostMachines().length;
            assert.equal(copies > stillBorne, true, `${name} was acknowledged on ${copies} disks`);
        }
    }

    private holdersOf(name: string): readonly string[] {
        const { nodes } = this.cluster;
        return this.machines.filter(id => {
            const { entries, snapshot } = nodes.get(id)!.disk;
            return JSON.stringify([entries, snapshot]).includes(`"${name}"`);
        });
    }
}

const Trouble = {
    Calm: "calm",
    PowerOff: "power_off",
    Wipe: "wipe",
    Cut: "cut",
    Replace: "replace",
    RestartAll: "restart_all",
    PowerOffAll: "power_off_all",
    RestartInTurn: "restart_in_turn",
    Split: "split",
    SlowNetwork: "slow_network",
    LossyNetwork: "lossy_network",
    StalledDisk: "stalled_disk",
} as const;
type Trouble = typeof Trouble[keyof typeof Trouble];

const troubles = Object.values(Trouble);

function strike(deployed: Deployed, trouble: Trouble, random: SeededRandom): void {
    const machine = deployed.pick();
    switch (trouble) {
        case Trouble.RestartAll:
        case Trouble.PowerOffAll:
            return deployed.restartAll(trouble === Trouble.PowerOffAll);
        case Trouble.RestartInTurn:
            return deployed.restartInTurn(500 + random.nextInteger(2_000));
        case Trouble.Split:
            return deployed.split(500 + random.nextInteger(5_000));
        case Trouble.SlowNetwork:
            deployed.cluster.faults = { ...noFaults, maximumDelayMs: 20 + random.nextInteger(80), diskDelayMs: 20 };
            return;
        case Trouble.LossyNetwork:
            return deployed.loseMessages(random.nextShare() * 0.2, 500 + random.nextInteger(5_000));
        case Trouble.Calm:
            deployed.cluster.faults = noFaults;
            return;
    }
    if (machine === undefined) {
        return;
    }
    switch (trouble) {
        case Trouble.PowerOff:
            return deployed.powerOff(machine, 500 + random.nextInteger(8_000));
        case Trouble.Wipe:
            return deployed.wipe(machine, 500 + random.nextInteger(3_000));
        case Trouble.Cut:
            return deployed.cutOff(machine, 500 + random.nextInteger(8_000));
        case Trouble.StalledDisk:
            return deployed.stallDisk(machine, 500 + random.nextInteger(5_000));
        case Trouble.Replace:
            return deployed.replace(machine);
    }
}

/** @returns what went wrong, and the troubles that led to it */
function playDay(deployment: Deployment, seed: number): string | undefined {
    const random = new SeededRandom(Math.imul(seed, mixer));
    const deployed = new Deployed(deployment, seed);
    const played: string[] = [];
    try {
        deployed.run(12_000);
        for (let count = 4 + random.nextInteger(8); count > 0; count--) {
            const trouble = troubles[random.nextInteger(troubles.length)]!;
            played.push(`${deployed.cluster.nowMs} ${trouble}`);
            strike(deployed, trouble, random);
            deployed.run(100 + random.nextInteger(4_000));
        }
        deployed.recover();
        deployed.finalFault();
        deployed.acknowledge("after the final fault");
        const lost = deployed.lostChanges();
        return lost.length === 0 ? undefined : `seed ${seed}: lost ${lost.join()} after ${played.join("; ")}`;
    }
    catch (error) {
        const members = deployed.cluster.members.map(({ memberId }) => memberId).join();
        return `seed ${seed}: ${(error as Error).message}; members ${members}; after ${played.join("; ")}`;
    }
}

describe("loss of disks", () => {
    it("founds with more members than the settings name where the losses to be borne ask for them", () => {
        const cluster = new FakeCluster(6, 1, { seedCount: 3, faultTolerance: 2 });
        cluster.runUntil("a first list", () => cluster.members.length > 0, 3_000);
        assert.equal(cluster.members.length >= 5, true, `${cluster.members.length} members`);
    });

    it("founds with the members that the settings name when there are no more", () => {
        const cluster = new FakeCluster(3, 1, { seedCount: 3, faultTolerance: 2 });
        cluster.runUntil("a leader", () => cluster.leader() !== undefined, 6_000);
        assert.equal(cluster.members.length, 3);
    });

    it("lets an empty member join in time when the leader is none of the members that it knows by its settings", () => {
        const late: string[] = [];
        for (let seed = 1; seed <= 20; seed++) {
            const deployed = new Deployed({ size: 6, seedCount: 3, tolerance: 2 }, seed);
            const { cluster } = deployed;
            deployed.run(12_000);
            const leader = cluster.leader()!.memberId;
            deployed.powerOff(leader, 1_000);
            deployed.run(4_000);
            const wiped = ["m0", "m1", "m2"].find(id => id !== cluster.leader()!.memberId)!;
            deployed.wipe(wiped, 500);
            deployed.run(500 + catchUpMs);
            late.push(...cluster.allNodesAreMembers() ? [] : [`seed ${seed}: leader ${cluster.leader()!.memberId}`]);
        }
        assert.deepEqual(late, []);
    });

    it("drops a member that is gone within the time that its successor is given, also when the leader restarts", () => {
        const late: string[] = [];
        for (let seed = 1; seed <= 20; seed++) {
            const deployed = new Deployed({ size: 3, seedCount: 3, tolerance: 1 }, seed);
            const { cluster } = deployed;
            deployed.run(12_000);
            const leader = cluster.leader()!.memberId;
            deployed.replace(deployed.machines.find(id => id !== leader)!);
            deployed.run(1_000);
            cluster.kill(leader);
            deployed.run(300);
            cluster.start(leader);
            deployed.run(threeMemberCatchUpMs);
            const listed = cluster.members.map(({ memberId }) => memberId).sort();
            late.push(
                ...listed.join() === [...deployed.machines].sort().join() ? [] : [`seed ${seed}: ${listed.join()}`],
            );
        }
        assert.deepEqual(late, []);
    });

    it("drops members that are gone for good when their successors joined before they counted as silent", () => {
        const deployed = new Deployed({ size: 6, seedCount: 3, tolerance: 2 }, 1);
        deployed.run(12_000);
        for (const machine of ["m0", "m1", "m2"]) {
            deployed.replace(machine);
            deployed.run(catchUpMs + 1_000);
        }
        const members = deployed.cluster.members.map(({ memberId }) => memberId);
        assert.deepEqual([...members].sort(), [...deployed.machines].sort());
        deployed.finalFault();
        assert.deepEqual(deployed.lostChanges(), []);
    });

    it("keeps more members than may be lost when two are silent while another returns with an empty disk", () => {
        const sizes = Array.from({ length: 20 }, (_, index) => {
            const deployed = new Deployed({ size: 6, seedCount: 3, tolerance: 2 }, index + 1);
            const { cluster } = deployed;
            deployed.run(12_000);
            const [first, silent, wiped] = deployed.machines.filter(id => id !== cluster.leader()!.memberId);
            deployed.powerOff(first!, 20_000);
            deployed.run(4_500);
            deployed.powerOff(silent!, 20_000);
            deployed.run(2_900);
            deployed.wipe(wiped!, 500);
            return Math.min(...Array.from({ length: 400 }, () => {
                deployed.run(10);
                return cluster.members.length;
            }));
        });
        assert.equal(Math.min(...sizes), 4);
    });

    // Guards against members that stay away after restarts in turn, a wiped disk and seconds without power.
    it("has all members back before the final fault on a day like trouble-2 of the grown sites", () => {
        const failures: string[] = [];
        for (let seed = 1; seed <= 20; seed++) {
            const deployed = new Deployed({ size: 6, seedCount: 3, tolerance: 2 }, seed);
            const { cluster } = deployed;
            deployed.run(17_000);
            deployed.wipe(deployed.machines.find(id => id !== cluster.leader()?.memberId)!, 1_500);
            deployed.restartInTurn(2_000);
            deployed.run(10_500);
            deployed.powerOff("m0", 7_000);
            deployed.powerOff("m1", 7_000);
            deployed.run(16_000);
            const away = deployed.machines.filter(id => !deployed.isMember(id));
            deployed.restartInTurn(1_180);
            deployed.run(7_000);
            failures.push(...away.length === 0 ? [] : [`seed ${seed}: ${away.join()} away`]);
            try {
                deployed.finalFault();
                failures.push(...deployed.lostChanges().map(name => `seed ${seed}: ${name} lost`));
            }
            catch (error) {
                failures.push(`seed ${seed}: ${(error as Error).message}`);
            }
        }
        assert.deepEqual(failures, []);
    });

    for (const deployment of deployments) {
        const { size, tolerance } = deployment;
        // Guards against an acknowledgement that rests on fewer disks than may be lost, and survivors without a majority.
        it(`keeps every acknowledged change when ${tolerance} of ${size} disks are lost after generated troubles`, () => {
            const failures = Array.from({ length: runs }, (_, index) => playDay(deployment, firstSeed + index));
            assert.deepEqual(failures.filter(failure => failure !== undefined), []);
        });
    }
});
