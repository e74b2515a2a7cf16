/** Plays a schedule of faults on real processes, and checks what operators and callers were promised. */
import { setTimeout as delay } from "node:timers/promises";
import { SeededRandom } from "../src/pipeline/seededRandom.ts";
import type { RuleReport } from "../standins/platform/ruleChecker.ts";
import type { Machine, PlatformCluster } from "./platformCluster.ts";
import { DatabaseFaults } from "./soakDatabaseFaults.ts";
import { type Fault, FaultKind, type Scale } from "./soakSchedule.ts";
import { type PlatformDocument, statementDocument, StatementWorld } from "./statementWorld.ts";

/** Time after which an acknowledged configuration must be in force (`config_apply_ms`). */
const applyLimitMs = 3_000;

/** Time after the last fault within which everything is served again by every proxy (`recovery_s`). */
const recoveryMs = 12_000;

/** Time after which the successor of a lost member makes up for it (`catch_up_s`). */
const catchUpMs = 4_000;

/** Time within which a session is accepted or refused for good when no fault is active. */
const decisionLimitMs = 4_000;

/** Longest time for which a member is gone, and time for which the leader stands still. */
const maximumStandstillMs = 4_000;
const leaderStandstillMs = 3_000;

/** Interval between two changes of the configuration, and between two sessions at a proxy. */
const changeIntervalMs = 600;
const askIntervalMs = 250;

/** Share of the texts of clients and of the rows of databases that hold blanks, line ends and any bytes. */
const oddShare = 0.03;

/** Number of versions for which a key and its database exist. */
const keyLifetimeVersions = 12;

/** Answers that promise that nothing has run, and failed connections, which promise nothing. */
const openAnswers: readonly string[] = ["BUSY", "no answer"];

interface Change {
    readonly version: number;
    /** Undefined until the version was acknowledged. */
    acknowledgedAtMs: number | undefined;
}

export interface SoakReport {
    readonly seed: number;
    readonly faults: Readonly<Record<string, number>>;
    readonly versions: number;
    readonly sessions: number;
    /** Sessions by answer. */
    readonly answers: Readonly<Record<string, number>>;
    /** Answers to statements by code, and the number of promotions. */
    readonly statements: Readonly<Record<string, number>>;
    /** Texts and rows with blanks, line ends and any bytes. */
    readonly oddTexts: number;
    readonly promotions: number;
    /** Times that each rule on statements was broken. */
    readonly rules: RuleReport["broken"];
    /** What was promised and not kept, with the time since the start. */
    readonly broken: readonly string[];
}

export interface SoakOptions {
    readonly seed: number;
    readonly scale: Scale;
    readonly schedule: readonly Fault[];
    readonly logFolder?: string;
}

/** @throws Error if the processes cannot be started */
export async function runSoak({ seed, scale, schedule, logFolder }: SoakOptions): Promise<SoakReport> {
    const { members, proxies, sessions } = scale;
    await using world = await StatementWorld.open(
        { members, proxies, sessions, seed, oddShare, ...logFolder === undefined ? {} : { logFolder } },
        documentOf(1),
    );
    const run = new SoakRun(world, seed);
    return await run.play(schedule);
}

class SoakRun {
    private readonly world: StatementWorld;
    private readonly cluster: PlatformCluster;
    private readonly databaseFaults: DatabaseFaults;
    private readonly seed: number;
    private readonly random: SeededRandom;
    private readonly startedMs = performance.now();
    private readonly formerMembers: readonly Machine[];
    private readonly removedMembers: Machine[] = [];
    private readonly changes: Change[] = [{ version: 1, acknowledgedAtMs: performance.now() }];
    private readonly faults: Record<string, number> = {};
    private readonly answers: Record<string, number> = {};
    private readonly broken: string[] = [];
    /** Highest version whose effect a caller of a proxy has seen, by process. */
    private readonly seenVersions = new Map<string, number>();
    /** Machines that a fault has stopped or frozen, and that must not be befallen by another one. */
    private readonly disturbed = new Set<string>();
    private membersInWork = false;
    private lastReplacementEndMs = -Infinity;
    private isRestarted = false;
    private isOver = false;

    constructor(world: StatementWorld, seed: number) {
        const { cluster } = world;
        this.world = world;
        this.cluster = cluster;
        this.databaseFaults = new DatabaseFaults(world, seed + 2, forMs => this.endLeader(forMs));
        this.seed = seed;
        this.random = new SeededRandom(seed + 1);
        this.formerMembers = [...cluster.members];
    }

    async play(schedule: readonly Fault[]): Promise<SoakReport> {
        this.world.startClients();
        const background = [this.changeConfigurations(), this.askProxies()];
        const running: Promise<void>[] = [];
        for (const fault of schedule) {
            await delay(Math.max(0, fault.atMs - (performance.now() - this.startedMs)));
            running.push(this.apply(fault));
        }
        await Promise.all(running);
        this.cluster.proxies.forEach(proxy => this.cluster.writeSettings(proxy, this.cluster.members));
        await delay(recoveryMs);
        this.isOver = true;
        await Promise.all(background);
        await this.checkEnd();
        return this.report(await this.world.finish());
    }

    private report(rules: RuleReport): SoakReport {
        const { seed, faults, answers, broken, changes, world: { platform } } = this;
        const sessions = Object.values(answers).reduce((sum, count) => sum + count, 0);
        return {
            seed,
            faults,
            versions: changes.length,
            sessions,
            answers,
            statements: rules.answers,
            oddTexts: this.world.oddCount,
            promotions: platform.promotionCount,
            rules: rules.broken,
            broken: [...broken, ...rules.examples],
        };
    }

    private async apply(fault: Fault): Promise<void> {
        const isApplied = await this.applyTo(fault);
        if (isApplied) {
            this.faults[fault.kind] = (this.faults[fault.kind] ?? 0) + 1;
        }
    }

    /** Returns false if no machine is there that the fault could befall. */
    private async applyTo(fault: Fault): Promise<boolean> {
        const { cluster } = this;
        const { kind, target, forMs } = fault;
        switch (kind) {
            case FaultKind.FreezeProxy:
            case FaultKind.FreezeMember:
                return this.disturb(kind === FaultKind.FreezeProxy, target, machine => this.freeze(machine, forMs));
            case FaultKind.KillProxy:
            case FaultKind.KillMember:
                return this.disturb(kind === FaultKind.KillProxy, target, async machine => {
                    await cluster.kill(machine);
                    await delay(Math.min(forMs, maximumStandstillMs));
                    this.startAgain(machine);
                });
            case FaultKind.StopProxy:
            case FaultKind.StopMember:
                return this.disturb(kind === FaultKind.StopProxy, target, async machine => {
                    await cluster.stop(machine);
                    this.startAgain(machine);
                });
            case FaultKind.SignalReload:
                return this.disturb(target % 2 === 0, target, async machine => cluster.signal(machine, "SIGHUP"));
            case FaultKind.ReplaceMember:
                return this.replaceMember(target, machine => cluster.kill(machine), async () => undefined);
            case FaultKind.ReplaceSilentMember:
                return this.replaceMember(
                    target,
                    machine => cluster.signal(machine, "SIGSTOP"),
                    async machine => {
                        await delay(forMs);
                        cluster.signal(machine, "SIGCONT");
                        await delay(2_000);
                        await cluster.kill(machine);
                    },
                );
            case FaultKind.AddProxyWithOldSeeds: {
                const machine = cluster.addMachine(false);
                cluster.start(machine, { seeds: this.formerMembers });
                await delay(forMs);
                cluster.writeSettings(machine, cluster.members);
                return true;
            }
            case FaultKind.ReuseAddress: {
                const removed = this.removedMembers.shift();
                if (removed === undefined) {
                    return false;
                }
                cluster.start(cluster.addMachine(false, removed.host));
                return true;
            }
            case FaultKind.RestartAll:
            case FaultKind.RestartAllWithLostDisk:
                return this.restartAll(target, forMs, kind === FaultKind.RestartAllWithLostDisk);
            case FaultKind.SignalSeries:
                return this.disturb(target % 3 > 0, target, machine => this.signalInSeries(machine, target));
            case FaultKind.FreezeLeader:
                return this.disturbMachine(cluster.leader, leader => this.freeze(leader, forMs));
            case FaultKind.WakeForLeader:
                return this.disturbMachine(this.memberBesideLeader(target), async member => {
                    await this.freeze(member, Math.min(forMs, maximumStandstillMs));
                    if (cluster.leader !== undefined && cluster.leader !== member) {
                        await this.freeze(cluster.leader, leaderStandstillMs);
                    }
                });
            default:
                return this.databaseFaults.apply(fault);
        }
    }

    private async disturb(
        isProxy: boolean,
        target: number,
        act: (machine: Machine) => Promise<void>,
    ): Promise<boolean> {
        const machines = (isProxy ? this.cluster.proxies : this.cluster.members)
            .filter(({ name }) => !this.disturbed.has(name));
        return this.disturbMachine(machines[target % Math.max(1, machines.length)], act);
    }

    private async disturbMachine(
        machine: Machine | undefined,
        act: (machine: Machine) => Promise<void>,
    ): Promise<boolean> {
        const isProxy = machine?.isMember === false;
        if (machine === undefined || this.disturbed.has(machine.name) || !isProxy && this.membersInWork) {
            return false;
        }
        this.disturbed.add(machine.name);
        this.membersInWork ||= !isProxy;
        await act(machine);
        this.disturbed.delete(machine.name);
        this.membersInWork &&= isProxy;
        return true;
    }

    private async freeze(machine: Machine, forMs: number): Promise<void> {
        this.cluster.signal(machine, "SIGSTOP");
        await delay(forMs);
        this.cluster.signal(machine, "SIGCONT");
    }

    private memberBesideLeader(target: number): Machine | undefined {
        const others = this.cluster.members.filter(member => member !== this.cluster.leader);
        return others[target % Math.max(1, others.length)];
    }

    private async endLeader(forMs: number): Promise<void> {
        await this.disturbMachine(this.cluster.leader, async leader => {
            await this.cluster.kill(leader);
            await delay(Math.min(forMs, maximumStandstillMs));
            this.startAgain(leader);
        });
    }

    /** Sends signals with short pauses; the last one ends the process, which then starts again. */
    private async signalInSeries(machine: Machine, target: number): Promise<void> {
        const random = new SeededRandom(target);
        const signals: readonly NodeJS.Signals[] = ["SIGHUP", "SIGSTOP", "SIGCONT", "SIGTERM"];
        for (let count = 3 + random.nextInteger(5); count > 0; count--) {
            this.cluster.signal(machine, signals[random.nextInteger(signals.length)]!);
            await delay(random.nextInteger(900));
        }
        await this.cluster.kill(machine);
        this.startAgain(machine);
    }

    private async replaceMember(
        target: number,
        remove: (machine: Machine) => Promise<void> | void,
        follow: (machine: Machine) => Promise<void>,
    ): Promise<boolean> {
        if (this.membersInWork) {
            return false;
        }
        this.membersInWork = true;
        const old = this.cluster.members[target % this.cluster.members.length]!;
        try {
            await this.cluster.replaceMember(old, remove);
        }
        catch (error) {
            // A restart of everything ends the process that waits to be a member; the next one goes on.
            if (!this.isRestarted) {
                this.breakPromise(`replacement of ${old.name}: ${(error as Error).message.split("\n")[0]}`);
            }
        }
        this.membersInWork = false;
        this.lastReplacementEndMs = performance.now();
        await follow(old);
        this.removedMembers.push(old);
        return true;
    }

    private async restartAll(target: number, forMs: number, losesDisk: boolean): Promise<boolean> {
        const { members, proxies } = this.cluster;
        this.isRestarted = true;
        const isReplacing = this.membersInWork;
        const machines = [...members, ...proxies];
        await Promise.all(machines.map(machine => this.cluster.kill(machine)));
        await delay(forMs);
        // A member that is being replaced counts as a lost disk already, and the cluster bears one.
        const isDiskLossBorne = !isReplacing && performance.now() - this.lastReplacementEndMs > catchUpMs;
        if (losesDisk && isDiskLossBorne) {
            this.cluster.eraseDisk(members[target % members.length]!);
        }
        machines.forEach(machine => this.startAgain(machine));
        return true;
    }

    /** Starts a machine, unless another fault that overlaps has started it already. */
    private startAgain(machine: Machine): void {
        if (!this.cluster.isRunning(machine)) {
            this.cluster.start(machine);
        }
    }

    private async changeConfigurations(): Promise<void> {
        while (!this.isOver) {
            const version = this.changes.at(-1)!.version + 1;
            const change: Change = { version, acknowledgedAtMs: undefined };
            this.changes.push(change);
            try {
                await this.cluster.putConfiguration(documentOf(version));
                change.acknowledgedAtMs = performance.now();
            }
            catch (error) {
                this.breakPromise(`version ${version}: ${(error as Error).message}`);
            }
            await delay(changeIntervalMs);
        }
    }

    private async askProxies(): Promise<void> {
        const pending = new Set<Promise<void>>();
        while (!this.isOver) {
            for (const proxy of this.cluster.proxies) {
                const asked = this.ask(proxy).finally(() => pending.delete(asked));
                pending.add(asked);
            }
            await delay(askIntervalMs);
        }
        await Promise.all(pending);
    }

    /** Opens a session for a key that is new, in use or withdrawn, or for one that never existed. */
    private async ask(proxy: Machine): Promise<void> {
        const newest = this.changes.at(-1)!.version;
        const version = Math.max(1, newest + 1 - this.random.nextInteger(2 * keyLifetimeVersions));
        const isKnown = this.random.nextInteger(8) > 0;
        const askedAtMs = performance.now();
        const acknowledged = this.acknowledgedVersion(askedAtMs - applyLimitMs);
        const process = this.cluster.processOf(proxy);
        const key = isKnown ? `key${version}` : "never";
        const answer = await this.cluster.connect(proxy, `db${version}`, key);
        const what = `${key} of db${version} at ${proxy.name}, asked at ${this.atMs(askedAtMs)}: ${answer}`;
        this.answers[answer] = (this.answers[answer] ?? 0) + 1;
        const present = (reached: number): boolean => version <= reached && reached < version + keyLifetimeVersions;
        const couldBeAbsent = [...this.possibleVersions(acknowledged)].some(reached => !present(reached));
        if (isKnown && (answer === "NOAUTH" || answer === "NODB") && !couldBeAbsent) {
            this.breakPromise(`refused for good, version ${acknowledged} was acknowledged: ${what}`);
        }
        if (answer === "READY") {
            const seen = this.seenVersions.get(process) ?? 0;
            if (!isKnown || seen >= version + keyLifetimeVersions) {
                this.breakPromise(`accepted, but withdrawn before version ${seen}: ${what}`);
            }
            if (process === this.cluster.processOf(proxy)) {
                this.seenVersions.set(process, Math.max(seen, version));
            }
        }
    }

    /** Versions that may be in force: from the acknowledged one up to the newest that was sent. */
    private *possibleVersions(acknowledged: number): Iterable<number> {
        for (let version = acknowledged; version <= this.changes.at(-1)!.version; version++) {
            yield version;
        }
    }

    private acknowledgedVersion(beforeMs: number): number {
        return Math.max(
            0,
            ...this.changes.filter(({ acknowledgedAtMs }) => (acknowledgedAtMs ?? Infinity) <= beforeMs)
                .map(({ version }) => version),
        );
    }

    /** Every proxy must serve and refuse by the newest version, and the members must still hold it. */
    private async checkEnd(): Promise<void> {
        const newest = this.changes.at(-1)!;
        await delay(applyLimitMs);
        const version = await this.cluster.readVersion();
        if (version !== newest.version) {
            this.breakPromise(`version ${newest.version} was acknowledged, and ${version ?? "none"} is read back`);
        }
        const withdrawn = newest.version - keyLifetimeVersions;
        const expectations = [
            { host: `db${newest.version}`, key: `key${newest.version}`, expected: "READY" },
            { host: `db${newest.version}`, key: "never", expected: "NOAUTH" },
            ...withdrawn < 1 ? [] : [{ host: `db${withdrawn}`, key: `key${withdrawn}`, expected: "NODB" }],
        ];
        await Promise.all(this.cluster.proxies.flatMap(proxy =>
            expectations.map(async ({ host, key, expected }) => {
                const answer = await this.connectUntilDecided(proxy, host, key);
                if (answer !== expected) {
                    this.breakPromise(`at the end, ${key} of ${host} at ${proxy.name}: ${answer}, not ${expected}`);
                }
            })
        ));
        for (const proxy of this.cluster.proxies) {
            const answer = await this.world.writeAt(proxy);
            if (answer !== "served") {
                this.breakPromise(`at the end, a write at ${proxy.name}: ${answer}`);
            }
        }
        this.cluster.unexpectedEnds.forEach(end => this.breakPromise(`ended by itself: ${end}`));
        Object.keys(this.answers).filter(answer => !isKnownAnswer(answer))
            .forEach(answer => this.breakPromise(`unknown answer: ${answer}`));
    }

    /** Opens sessions until the answer is not BUSY, which a short stall of the members' disks may cause. */
    private async connectUntilDecided(proxy: Machine, host: string, key: string): Promise<string> {
        let answer = "BUSY";
        for (const startMs = performance.now(); answer === "BUSY" && performance.now() - startMs < decisionLimitMs;) {
            answer = await this.cluster.connect(proxy, host, key);
            await delay(askIntervalMs);
        }
        return answer;
    }

    private breakPromise(text: string): void {
        this.broken.push(`${this.atMs(performance.now())} ms: ${text}`);
    }

    private atMs(timeMs: number): number {
        return Math.round(timeMs - this.startedMs);
    }
}

function isKnownAnswer(answer: string): boolean {
    return ["READY", "NOAUTH", "NODB", ...openAnswers].includes(answer)
        || /ECONNREFUSED|ECONNRESET|EPIPE|closed/.test(answer);
}

/** A configuration in which each of the last versions has added a database and a key. */
function documentOf(version: number): PlatformDocument {
    const versions = Array.from({ length: Math.min(version, keyLifetimeVersions) }, (_, index) => version - index);
    const base = statementDocument(version);
    const route = { path_prefix: "/", kind: "primary", timeout_ms: 1_000, service: "ledger" };
    const apiKeys = versions.map(added => `key${added}`);
    return {
        ...base,
        routes: [...base.routes, ...versions.map(added => ({ ...route, name: `r${added}`, host: `db${added}` }))],
        tenants: [...base.tenants, { name: "tenant", api_keys: apiKeys, rate_per_s: 100, burst: 100 }],
    };
}
