/** Faults of a service that come in series, drawn from a seed. */
import { SeededRandom } from "../../pipeline/seededRandom.ts";
import type { PromotionWorld } from "./promotionWorld.ts";
import type { SimulatedDatabase } from "./simulatedDatabase.ts";

const faultTimeMs = 60_000;

/** Faults of a service that come in series and overlap. At most two databases of three are down at once. */
export class Faults {
    protected readonly world: PromotionWorld;
    protected readonly random: SeededRandom;
    /** What ends the faults that last, with the times at which that is due. */
    private repairs: { readonly atMs: number; repair(): void; }[] = [];
    private readonly history: string[] = [];

    constructor(world: PromotionWorld, seed: number) {
        this.world = world;
        this.random = new SeededRandom(seed);
    }

    get description(): string {
        return this.history.join("; ");
    }

    run(): void {
        const untilMs = this.world.nowMs + faultTimeMs;
        while (this.world.nowMs < untilMs) {
            this.world.advance(this.between(20, 3_000));
            this.repairDue(this.world.nowMs);
            this.start();
        }
        this.world.platformDelayMs = 0;
        this.repairDue(Infinity);
    }

    protected start(): void {
        const { world } = this;
        const database = world.database(this.random.nextInteger(world.databases.length));
        const instance = world.instances[this.random.nextInteger(world.instances.length)]!;
        switch (this.random.nextInteger(9)) {
            case 0:
            case 1:
                return this.crash(world.primary ?? database);
            case 2:
                return this.crash(database);
            case 3:
                return this.goDark(database);
            case 4:
                return this.goDeaf(database);
            case 5:
                return this.restartControl();
            case 6:
                this.note(`platform takes ${world.platformDelayMs = this.pick([0, 0, 300, 2_000, 5_000])} ms`);
                return;
            case 7:
                if (instance.running) {
                    this.note(`kill ${instance.instanceId}`);
                    world.killInstance(instance);
                    this.later(() => world.startInstance(instance));
                }
                return;
            case 8:
                return this.replacePrimary();
        }
    }

    protected crash(database: SimulatedDatabase): void {
        if (this.canTakeDown(database)) {
            this.note(`crash ${database.id}`);
            this.world.crash(database);
            this.later(() => this.world.restart(database));
        }
    }

    /** The machine of a database loses its power and starts again. */
    protected goDark(database: SimulatedDatabase): void {
        if (this.canTakeDown(database)) {
            this.note(`dark ${database.id}`);
            database.dark = true;
            this.later(() => {
                this.world.crash(database);
                this.world.restart(database);
            });
        }
    }

    protected goDeaf(database: SimulatedDatabase): void {
        if (!database.leads && database.running && !database.deaf) {
            this.note(`deaf ${database.id}`);
            database.deaf = true;
            this.later(() => {
                database.deaf = false;
            });
        }
    }

    protected restartControl(): void {
        if (this.world.hasControl) {
            this.note("control members restart");
            this.world.stopControl();
            this.later(() => this.world.startControl());
        }
    }

    protected replacePrimary(): void {
        const { primary } = this.world;
        if (primary !== undefined && !primary.dark && !primary.draining) {
            this.note(`replace ${primary.id}`);
            primary.draining = true;
            this.world.report(primary);
            this.later(() => {
                if (primary.running && !primary.dark) {
                    this.world.crash(primary);
                    this.world.restart(primary);
                }
            });
        }
    }

    protected canTakeDown(database: SimulatedDatabase): boolean {
        const down = this.world.databases.filter(({ running, dark }) => !running || dark).length;
        return database.running && !database.dark && down < 2;
    }

    protected later(repair: () => void): void {
        this.repairs.push({ atMs: this.world.nowMs + this.between(300, 7_000), repair });
    }

    private repairDue(nowMs: number): void {
        const due = this.repairs.filter(({ atMs }) => atMs <= nowMs);
        this.repairs = this.repairs.filter(({ atMs }) => atMs > nowMs);
        due.forEach(({ repair }) => repair());
    }

    protected note(text: string): void {
        this.history.push(`${(this.world.nowMs / 1_000).toFixed(2)} s ${text}`);
    }

    protected between(minimum: number, maximum: number): number {
        return minimum + this.random.nextInteger(maximum - minimum);
    }

    protected pick<Value>(values: readonly Value[]): Value {
        return values[this.random.nextInteger(values.length)]!;
    }
}

/**
 * Besides the faults above: replicas that start again without their logs, databases that join and leave, primaries and
 * instances that are cut off, answers that come twice, and calls to the platform that overtake each other.
 */
export class WiderFaults extends Faults {
    constructor(world: PromotionWorld, seed: number) {
        super(world, seed);
        world.nextPlatformDelayMs = () => this.random.nextInteger(3) > 0 ? 0 : this.between(100, 12_000);
        world.nextRepetitionDelayMs = () => this.random.nextInteger(10) > 0 ? undefined : this.between(1, 1_000);
    }

    override run(): void {
        super.run();
        this.world.nextPlatformDelayMs = () => 0;
        this.world.nextRepetitionDelayMs = () => undefined;
    }

    protected override start(): void {
        switch (this.random.nextInteger(7)) {
            case 0:
                return super.start();
            case 1:
                return this.cutPrimary();
            case 2:
                return this.restartEmpty();
            case 3:
                return this.join();
            case 4:
                return this.leave();
            case 5:
                return this.cutInstance();
            case 6:
                // A replica loses its log while a primary is replaced.
                if (this.random.nextInteger(2) === 0) {
                    this.cutPrimary();
                }
                else {
                    this.crash(this.world.primary ?? this.world.database(0));
                }
                this.world.advance(this.between(0, 1_500));
                return this.random.nextInteger(3) === 0 ? this.join() : this.restartEmpty();
        }
    }

    /** The primary goes on serving some instances, with the replicas that it reaches. */
    private cutPrimary(): void {
        const { primary, databases } = this.world;
        if (primary === undefined || primary.dark || primary.cutFromControl) {
            return;
        }
        primary.cutFromControl = true;
        databases.filter(database => database !== primary && this.random.nextInteger(2) === 0)
            .forEach(({ address }) => primary.cutFrom.add(address));
        this.note(`cut ${primary.id} from control, ${[...primary.cutFrom].join(", ")}`);
        this.later(() => this.world.rejoin(primary.address));
    }

    private restartEmpty(): void {
        const replicas = this.world.databases.filter(({ leads, running, dark }) => !leads && running && !dark);
        if (replicas.length === 0) {
            return;
        }
        const replica = this.pick(replicas);
        const silent = this.random.nextInteger(3) === 0;
        this.note(`restart ${replica.id} without its log${silent ? ", links not reset" : ""}`);
        this.world.restartEmpty(replica, silent);
    }

    private join(): void {
        if (this.world.databases.length < 5) {
            this.note(`join ${this.world.join().id}`);
        }
    }

    /** A replica leaves, and a database with its log takes its address or none does. */
    private leave(): void {
        const { world } = this;
        const replicas = world.databases.filter(({ leads, running, dark, draining }) =>
            !leads && running && !dark && !draining
        );
        if (replicas.length < 2) {
            return;
        }
        const replica = this.pick(replicas);
        const hasSuccessor = world.databases.length <= 3 || this.random.nextInteger(2) === 0;
        this.note(`${hasSuccessor ? "replace" : "leave"} ${replica.id}`);
        replica.draining = true;
        world.report(replica);
        this.later(() => {
            if (replica.running && !replica.leads && world.databases.includes(replica)) {
                if (hasSuccessor) {
                    world.crash(replica);
                    world.restart(replica);
                }
                else {
                    world.leave(replica);
                }
            }
        });
    }

    private cutInstance(): void {
        const instance = this.pick(this.world.instances);
        if (!instance.cutFromControl) {
            this.note(`cut ${instance.instanceId} from control`);
            this.world.cutInstance(instance);
            this.later(() => this.world.joinInstance(instance));
        }
    }
}
