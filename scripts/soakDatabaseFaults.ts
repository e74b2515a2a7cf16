/** Faults of the databases behind the processes, and of the platform that promotes them. */
import { setTimeout as delay } from "node:timers/promises";
import { DatabaseRole } from "../src/model/database.ts";
import { SeededRandom } from "../src/pipeline/seededRandom.ts";
import { noAnswerFaults } from "../standins/platform/answerFaults.ts";
import { type Database, usualWorkMs } from "../standins/platform/database.ts";
import { PrimaryFaults } from "./soakPrimaryFaults.ts";
import { type Fault, FaultKind } from "./soakSchedule.ts";
import type { StatementWorld } from "./statementWorld.ts";

/** Longest time for which a database is down. */
const maximumDownMs = 6_000;

/** Time for which a database serves at least after it has said that it drains (`drain_ms`). */
const drainMs = 7_000;

/** Number of databases beyond which none joins, and below which none leaves. */
const maximumDatabases = 5;
const minimumDatabases = 3;

/** Times after which an order without an answer takes effect. */
const minimumOrderDelayMs = 2_000;
const maximumOrderDelayMs = 12_000;

export class DatabaseFaults {
    private readonly world: StatementWorld;
    private readonly random: SeededRandom;
    private readonly disturbed = new Set<Database>();
    private readonly primaryFaults: PrimaryFaults;
    private leavingCount = 0;

    /** @param endLeader ends the control leader, unless another member is gone, and starts it again after a time */
    constructor(world: StatementWorld, seed: number, endLeader: (forMs: number) => Promise<void>) {
        this.world = world;
        this.random = new SeededRandom(seed);
        const { disturbed } = this;
        this.primaryFaults = new PrimaryFaults({ world, seed: seed + 1, disturbed, endLeader });
    }

    /** Returns false if no database is there that the fault could befall. */
    async apply({ atMs, kind, target, forMs }: Fault): Promise<boolean> {
        switch (kind) {
            case FaultKind.RepeatAnswers:
                return this.changeAnswers({ repeatedShare: 0.03 }, forMs);
            case FaultKind.RefuseStatements:
                return this.changeAnswers({ errorShare: 0.05, setupErrorShare: 0.05 }, forMs);
            case FaultKind.CrashDatabase:
                return this.disturb(target, database => this.crash(database, forMs, true));
            case FaultKind.EmptyDatabase:
                return !this.primaryFaults.isCrashed
                    && this.disturb(target, database => this.crash(database, forMs / 4, false));
            case FaultKind.JoinDatabase:
                return this.join();
            case FaultKind.DrainDatabase:
                return this.mayLeave() && this.disturb(target, database => this.drain(database, forMs, false));
            case FaultKind.ReplaceDatabase:
                return this.disturb(target, database => this.drain(database, forMs, true));
            case FaultKind.CutDatabase:
                return this.disturb(target, async database => {
                    const [fromPeers, statements] = [target % 3 !== 0, target % 2 === 0];
                    database.cutOff({ statements, answers: statements || !fromPeers }, fromPeers);
                    await delay(forMs);
                    database.reconnect();
                });
            case FaultKind.SlowDatabase:
                return this.disturb(target, async database => {
                    database.maximumWorkMs = 200 + target;
                    await delay(forMs);
                    database.maximumWorkMs = usualWorkMs;
                });
            case FaultKind.SlowPlatform:
                return this.slowPlatform(forMs);
            default:
                return this.primaryFaults.apply({ atMs, kind, target, forMs });
        }
    }

    private async disturb(target: number, act: (database: Database) => Promise<void>): Promise<boolean> {
        const databases = this.world.group.running.filter(database => !this.disturbed.has(database));
        const database = databases[target % Math.max(1, databases.length)];
        if (database === undefined) {
            return false;
        }
        this.disturbed.add(database);
        await act(database);
        this.disturbed.delete(database);
        return true;
    }

    private async changeAnswers(rates: Partial<typeof noAnswerFaults>, forMs: number): Promise<boolean> {
        const { faults } = this.world;
        faults.rates = { ...faults.rates, ...rates };
        await delay(forMs);
        const usual = Object.keys(rates).map(name => [name, noAnswerFaults[name as keyof typeof noAnswerFaults]]);
        faults.rates = { ...faults.rates, ...Object.fromEntries(usual) as Partial<typeof noAnswerFaults> };
        return true;
    }

    /** A crashed database comes back under a new id with its log, or under its own id with nothing. */
    private async crash(database: Database, forMs: number, keepsLog: boolean): Promise<void> {
        await database.stop();
        await delay(Math.min(forMs, maximumDownMs));
        await this.world.startSuccessor(database, keepsLog || !this.isCoveredWithout(database));
    }

    private async join(): Promise<boolean> {
        if (this.world.group.members.length >= maximumDatabases) {
            return false;
        }
        await this.world.startDatabase(DatabaseRole.Replica);
        return true;
    }

    /** A drained database leaves for good, or another one continues its log at its address. */
    private async drain(database: Database, forMs: number, isReplaced: boolean): Promise<void> {
        await database.drain(drainMs + forMs);
        if (isReplaced) {
            await database.leave();
            await this.world.startSuccessor(database, true);
        }
        else if (this.mayLeave() && this.isCoveredWithout(database)) {
            this.leavingCount += 1;
            await database.leave();
            this.leavingCount -= 1;
            this.world.group.remove(database);
        }
        else {
            database.state = "ready";
        }
    }

    private mayLeave(): boolean {
        return this.world.group.members.length - this.leavingCount > minimumDatabases;
    }

    /** Whether the logs of the others have every commit that a client saw acknowledged. */
    private isCoveredWithout(database: Database): boolean {
        const others = this.world.group.members.filter(other => other !== database);
        return this.world.checker.isCovered(others.map(({ log }) => log));
    }

    private async slowPlatform(forMs: number): Promise<boolean> {
        const { platform } = this.world;
        platform.nextDelayMs = () =>
            minimumOrderDelayMs + this.random.nextInteger(maximumOrderDelayMs - minimumOrderDelayMs);
        await delay(forMs);
        platform.nextDelayMs = () => undefined;
        await platform.settle();
        return true;
    }
}
