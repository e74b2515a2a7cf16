import "disposablestack/auto";
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { documentWithKeys, type Machine, PlatformCluster } from "../platformCluster.ts";

/** Time within which an acknowledged configuration is in force at every proxy that reaches the members. */
const applyLimitMs = 3_000;

/** Time after a disruption from which the limit above counts. */
const stableWindowMs = 5_000;

/** Interval between two sessions that ask for the same key. */
const askIntervalMs = 250;

/** Opens sessions with a key until one is accepted, and returns the answers. */
async function connectUntilReady(cluster: PlatformCluster, proxy: Machine, key: string): Promise<readonly string[]> {
    const answers: string[] = [];
    const startMs = performance.now();
    while (answers.at(-1) !== "READY" && performance.now() - startMs < stableWindowMs + applyLimitMs) {
        answers.push(await cluster.connect(proxy, "orders", key));
        await delay(askIntervalMs);
    }
    return answers;
}

describe("proxies while all control members are replaced at other addresses", { timeout: 120_000 }, () => {
    let cluster: PlatformCluster;
    let formerMembers: readonly Machine[];
    let frozen: Machine;

    before(async () => {
        cluster = await PlatformCluster.open({ members: 3, proxies: 2 }, documentWithKeys(1));
        formerMembers = [...cluster.members];
        frozen = cluster.proxies[0]!;
        for (const proxy of cluster.proxies) {
            assert.equal((await connectUntilReady(cluster, proxy, "key1")).at(-1), "READY");
        }
        cluster.signal(frozen, "SIGSTOP");
        for (const old of formerMembers) {
            await cluster.replaceMember(old, machine => cluster.kill(machine));
        }
        await cluster.putConfiguration(documentWithKeys(2));
    });

    after(() => cluster[Symbol.asyncDispose]());

    it("serve a new key after they stood still meanwhile, and refuse it at no time as unknown", async () => {
        // Guards against an orphaned proxy that answers NOAUTH for good from its last configuration.
        cluster.signal(frozen, "SIGCONT");
        const answers = await connectUntilReady(cluster, frozen, "key2");
        assert.equal(answers.at(-1), "READY");
        assert.deepEqual(answers.filter(answer => answer !== "READY" && answer !== "BUSY"), []);
        assert.equal(await cluster.connect(frozen, "orders", "another"), "NOAUTH");
        assert.deepEqual(cluster.unexpectedEnds, []);
    });

    it("serve after their settings file names the new members, without a signal", async () => {
        // Guards against a proxy that started with old seeds and never looks at its settings file again.
        const added = cluster.addMachine(false);
        cluster.start(added, { seeds: formerMembers });
        await delay(stableWindowMs);
        assert.equal(await cluster.connect(added, "orders", "key1"), "BUSY");
        cluster.writeSettings(added, cluster.members);
        const answers = await connectUntilReady(cluster, added, "key1");
        assert.equal(answers.at(-1), "READY");
        assert.deepEqual(cluster.unexpectedEnds, []);
    });
});
