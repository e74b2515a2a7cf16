import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SeededRandom } from "../../pipeline/seededRandom.ts";
import { PromotionWorld } from "./promotionWorld.ts";
import type { SimulatedDatabase } from "./simulatedDatabase.ts";

const seeds = Number(process.env["JASMINELINE_SOAK_SEEDS"] ?? 60);
const firstSeed = Number(process.env["JASMINELINE_SOAK_FIRST_SEED"] ?? 1);
const faultTimeMs = 60_000;
const recoveryMs = 25_000;

/** Faults of a service that come in series and overlap. At most two databases of three are down at once. */
class Faults {
    private readonly world: PromotionWorld;
    private readonly random: SeededRandom;
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

    private start(): void {
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

    private crash(database: SimulatedDatabase): void {
        if (this.canTakeDown(database)) {
            this.note(`crash ${database.id}`);
            this.world.crash(database);
            this.later(() => this.world.restart(database));
        }
    }

    /** The machine of a database loses its power and starts again. */
    private goDark(database: SimulatedDatabase): void {
        if (this.canTakeDown(database)) {
            this.note(`dark ${database.id}`);
            database.dark = true;
            this.later(() => {
                this.world.crash(database);
                this.world.restart(database);
            });
        }
    }

    private goDeaf(database: SimulatedDatabase): void {
        if (!database.leads && database.running && !database.deaf) {
            this.note(`deaf ${database.id}`);
            database.deaf = true;
            this.later(() => {
                database.deaf = false;
            });
        }
    }

    private restartControl(): void {
        if (this.world.hasControl) {
            this.note("control members restart");
            this.world.stopControl();
            this.later(() => this.world.startControl());
        }
    }

    private replacePrimary(): void {
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

    private canTakeDown(database: SimulatedDatabase): boolean {
        const down = this.world.databases.filter(({ running, dark }) => !running || dark).length;
        return database.running && !database.dark && down < 2;
    }

    private later(repair: () => void): void {
        this.repairs.push({ atMs: this.world.nowMs + this.between(300, 7_000), repair });
    }

    private repairDue(nowMs: number): void {
        const due = this.repairs.filter(({ atMs }) => atMs <= nowMs);
        this.repairs = this.repairs.filter(({ atMs }) => atMs > nowMs);
        due.forEach(({ repair }) => repair());
    }

    private note(text: string): void {
        this.history.push(`${(this.world.nowMs / 1_000).toFixed(2)} s ${text}`);
    }

    private between(minimum: number, maximum: number): number {
        return minimum + this.random.nextInteger(maximum - minimum);
    }

    private pick<Value>(values: readonly Value[]): Value {
        return values[this.random.nextInteger(values.length)]!;
    }
}

describe("changes of primary under faults that overlap", () => {
    for (let seed = firstSeed; seed < firstSeed + seeds; seed++) {
        it(`lose no acknowledged commit and end, seed ${seed}`, () => {
            const world = new PromotionWorld();
            const faults = new Faults(world, seed);
            world.advance(4_000);
            faults.run();
            world.advance(recoveryMs);
            assert.deepEqual(world.lost, [], faults.description);
            const before = world.acknowledgedCount;
            world.advance(2_000);
            const { acknowledgedCount } = world;
            assert.ok(acknowledgedCount - before >= 80, `${acknowledgedCount - before} commits; ${faults.description}`);
        });
    }
});
