/** Faults in which databases, control members and the platform know different things of who leads. */
import { setTimeout as delay } from "node:timers/promises";
import { SeededRandom } from "../src/pipeline/seededRandom.ts";
import type { Database, NetworkCut } from "../standins/platform/database.ts";
import { type Fault, FaultKind } from "./soakSchedule.ts";
import type { StatementWorld } from "./statementWorld.ts";

const nothing = { statements: false, answers: false };
const everything = { statements: true, answers: true };

/** Times from the end of a database to its next start. */
const minimumDownMs = 300;
const maximumDownMs = 7_000;

/** Two databases end within this time. */
const bothEndMs = 100;

/** Time by which a replica receives late. */
const replicaLateMs = 1_000;

/** Times after which an order without an answer takes effect, and the share of orders without one. */
const minimumOrderDelayMs = 1_000;
const maximumOrderDelayMs = 4_000;
const unansweredShare = 0.7;

/** Longest time for which a primary is dark until an order for another one comes, and until that one leads. */
const orderLimitMs = 4_000;
const promotionLimitMs = 5_000;

/** Time in which a former primary follows the new one before that one is cut off, too. */
const followMs = 1_500;

const promotionsInSeries = 3;
const pollMs = 20;

export interface PrimaryFaultsOptions {
    readonly world: StatementWorld;
    readonly seed: number;
    /** Databases that another fault has befallen. */
    readonly disturbed: Set<Database>;
    /** Ends the control leader, unless another member is gone, and starts it again after a time. */
    readonly endLeader: (forMs: number) => Promise<void>;
}

export class PrimaryFaults {
    private readonly options: PrimaryFaultsOptions;
    private readonly random: SeededRandom;
    private crashes = 0;

    constructor(options: PrimaryFaultsOptions) {
        this.options = options;
        this.random = new SeededRandom(options.seed);
    }

    /** Whether two databases have ended together and are not both back; a third one that loses its log is not borne. */
    get isCrashed(): boolean {
        return this.crashes > 0;
    }

    /** Returns false if no database is there that the fault could befall. */
    async apply({ kind, target, forMs }: Fault): Promise<boolean> {
        const [first, second] = this.free(target);
        const primary = this.free(target).find(database => database === this.options.world.group.leader);
        switch (kind) {
            case FaultKind.CrashTwoDatabases:
                return first !== undefined && second !== undefined && this.crashTwo([first, second], forMs);
            case FaultKind.LatePlatform:
                return this.delayOrders(forMs);
            case FaultKind.CutFromControl:
                return first !== undefined && this.hold(first, async () => {
                    first.cutOff(nothing, false, { control: true });
                    await delay(forMs);
                    first.reconnect();
                });
            case FaultKind.LateReplica:
                return first !== undefined && this.hold(first, async () => {
                    first.lateMs = replicaLateMs;
                    await delay(forMs);
                    first.lateMs = 0;
                });
            case FaultKind.CutPrimary:
                return primary !== undefined
                    && this.hold(primary, () => this.cutPrimary(primary, target, () => delay(forMs)));
            case FaultKind.ReplacePrimary:
                return primary !== undefined && this.hold(primary, () => this.replacePrimary(primary));
            case FaultKind.PromotionSeries:
                return this.promoteInSeries(target);
            default:
                throw new Error(`${kind} is no fault of databases`);
        }
    }

    /** Running databases that no fault has befallen, in an order that `target` selects. */
    private free(target: number): readonly Database[] {
        const { world, disturbed } = this.options;
        const free = world.group.running.filter(database => !disturbed.has(database));
        const start = target % Math.max(1, free.length);
        return [...free.slice(start), ...free.slice(0, start)];
    }

    private async hold(database: Database, act: () => Promise<unknown>): Promise<boolean> {
        this.options.disturbed.add(database);
        await act();
        this.options.disturbed.delete(database);
        return true;
    }

    /** Two databases and the control leader end at almost the same time; the databases come back with their logs. */
    private async crashTwo(databases: readonly Database[], forMs: number): Promise<boolean> {
        this.crashes += 1;
        const leaderEnds = this.options.endLeader(Math.min(forMs, maximumDownMs));
        await Promise.all(databases.map(database =>
            this.hold(database, async () => {
                await delay(this.random.nextInteger(bothEndMs));
                await database.stop();
                await delay(minimumDownMs + this.random.nextInteger(maximumDownMs - minimumDownMs));
                await this.options.world.startSuccessor(database, true);
            })
        ));
        this.crashes -= 1;
        await leaderEnds;
        return true;
    }

    private async delayOrders(forMs: number): Promise<boolean> {
        const { platform } = this.options.world;
        this.loseAnswers();
        await delay(forMs);
        platform.nextDelayMs = () => undefined;
        await platform.settle();
        return true;
    }

    private loseAnswers(): void {
        this.options.world.platform.nextDelayMs = () =>
            this.random.nextFloat() < unansweredShare
                ? minimumOrderDelayMs + this.random.nextInteger(maximumOrderDelayMs - minimumOrderDelayMs)
                : undefined;
    }

    /** The primary is dark until another one is ordered, and then cut off from the control members and one replica. */
    private async cutPrimary(primary: Database, target: number, end: () => Promise<unknown>): Promise<void> {
        const { platform, group } = this.options.world;
        const { length } = platform.orderedIds;
        primary.cutOff(everything, true, { control: true });
        await this.waitFor(() => platform.orderedIds.length > length, orderLimitMs);
        const others = group.members.filter(member => member !== primary);
        const ordered = others.find(({ id }) => id === platform.orderedIds.at(-1));
        const apart = ordered ?? others[target % Math.max(1, others.length)];
        const cut: NetworkCut = { control: true, databases: apart === undefined ? [] : [apart] };
        primary.cutOff(nothing, false, cut);
        await end();
        primary.reconnect();
    }

    /** The primary drains, and is back under another id before an order for another one takes effect. */
    private async replacePrimary(primary: Database): Promise<void> {
        this.loseAnswers();
        await primary.drain(minimumDownMs + this.random.nextInteger(minimumDownMs));
        await primary.leave();
        await this.options.world.startSuccessor(primary, true);
        this.options.world.platform.nextDelayMs = () => undefined;
    }

    /** One primary after the other is cut off, so that a former one is chosen again whose reports are old. */
    private async promoteInSeries(target: number): Promise<boolean> {
        const { world } = this.options;
        const { platform, group } = world;
        let count = 0;
        for (; count < promotionsInSeries; count++) {
            const primary = this.free(target).find(database => database === group.leader);
            if (primary === undefined) {
                break;
            }
            const { promotionCount } = platform;
            this.loseAnswers();
            const promoted = (): Promise<void> =>
                this.waitFor(() => platform.promotionCount > promotionCount, promotionLimitMs);
            await this.hold(primary, () => this.cutPrimary(primary, target + count, promoted));
            await delay(followMs);
        }
        platform.nextDelayMs = () => undefined;
        await platform.settle();
        return count > 0;
    }

    private async waitFor(condition: () => boolean, limitMs: number): Promise<void> {
        for (const endsAtMs = performance.now() + limitMs; !condition() && performance.now() < endsAtMs;) {
            await delay(pollMs);
        }
    }
}
