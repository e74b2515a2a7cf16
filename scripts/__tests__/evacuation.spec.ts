import "disposablestack/auto";
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import type { Database } from "../../standins/platform/database.ts";
import { noRuleBroken } from "../../standins/platform/ruleChecker.ts";
import { type Machine } from "../platformCluster.ts";
import { statementDocument, StatementWorld } from "../statementWorld.ts";

/** Time after the acknowledgement from which no statement may reach a database of the data centre. */
const boundMs = 5_000;

/** Time within which the processes serve again after all were killed, on a busy machine. */
const recoveryMs = 20_000;

describe("an evacuation on real processes", { timeout: 180_000 }, () => {
    let world: StatementWorld;
    /** The first database, which is the primary, and its data centre. */
    let evacuated: Database;
    let dataCentre: string;

    before(async () => {
        world = await StatementWorld.open({ members: 3, proxies: 3, sessions: 9, seed: 1 });
        evacuated = world.group.members[0]!;
        ({ dataCentre } = evacuated.options);
        world.startClients();
        await delay(1_000);
    });

    after(() => world[Symbol.asyncDispose]());

    function machines(): readonly Machine[] {
        return [...world.cluster.members, ...world.cluster.proxies];
    }

    async function assertServed(): Promise<void> {
        for (const proxy of world.cluster.proxies) {
            assert.equal(await world.writeAt(proxy), "served", proxy.name);
        }
    }

    it("ends all work at the data centre in time, primary included, also across a new configuration", async () => {
        const { cluster, group } = world;
        assert.equal(group.leader, evacuated);
        assert.equal(await cluster.orderEvacuation("Begin", dataCentre), 200);
        const acknowledgedAtMs = performance.now();
        await cluster.putConfiguration(statementDocument(2));
        await delay(boundMs + 2_000);
        assert.notEqual(group.leader, evacuated);
        await assertServed();
        const lastWorkMs = evacuated.lastWorkAtMs - acknowledgedAtMs;
        assert.ok(lastWorkMs < boundMs, `last statement ${lastWorkMs} ms after the acknowledgement`);
        assert.ok(group.leader!.lastWorkAtMs > acknowledgedAtMs + boundMs);
    });

    it("acknowledges what changes nothing, refuses an unknown data centre, and lets the log order opposite orders", async () => {
        const { cluster } = world;
        assert.equal(await cluster.orderEvacuation("Begin", dataCentre), 200);
        assert.equal(await cluster.orderEvacuation("End", "zone-c"), 200);
        assert.equal(await cluster.orderEvacuation("Begin", "zone of nobody"), 400);
        assert.equal(await cluster.orderEvacuation("End", ""), 400);
        const both = ["Begin", "End"] as const;
        const statuses = await Promise.all(both.map(action => cluster.orderEvacuation(action, "zone-c")));
        assert.deepEqual(statuses, [200, 200]);
        assert.equal(await cluster.orderEvacuation("End", "zone-c"), 200);
        await assertServed();
    });

    it("is in force after all processes were killed and a member has lost its disk", async () => {
        const { cluster } = world;
        assert.equal(await cluster.orderEvacuation("End", dataCentre), 200);
        assert.equal(await cluster.orderEvacuation("Begin", dataCentre), 200);
        await Promise.all(machines().map(machine => cluster.kill(machine)));
        cluster.eraseDisk(cluster.members[0]!);
        machines().forEach(machine => cluster.start(machine));
        for (const startMs = performance.now(); performance.now() - startMs < recoveryMs;) {
            if (await world.writeAt(cluster.proxies[0]!) === "served") {
                break;
            }
        }
        await assertServed();
        const sinceMs = performance.now();
        await delay(boundMs);
        await assertServed();
        assert.ok(evacuated.lastWorkAtMs < sinceMs, `worked ${evacuated.lastWorkAtMs - sinceMs} ms after the recovery`);
        assert.equal(await cluster.orderEvacuation("End", dataCentre), 200);
        await delay(2_000);
        assert.ok(evacuated.lastWorkAtMs > sinceMs, "gets no work after the end");
    });

    it("breaks no other rule", async () => {
        const { broken, examples } = await world.finish();
        assert.deepEqual(broken, noRuleBroken, examples.join("\n"));
        assert.deepEqual(world.cluster.unexpectedEnds, []);
    });
});
