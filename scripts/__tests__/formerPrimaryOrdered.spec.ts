import "disposablestack/auto";
import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import type { Database } from "../../standins/platform/database.ts";
import { noRuleBroken } from "../../standins/platform/ruleChecker.ts";
import { StatementWorld } from "../statementWorld.ts";

const nothing = { statements: false, answers: false };
const everything = { statements: true, answers: true };

/** Time from an order to its effect; the platform gives no answer. */
const orderDelayMs = 2_500;

/** Commits by which the chosen database is ahead of the other replica. */
const minimumLead = 5;

const pollMs = 10;
const stepLimitMs = 20_000;

/** Time within which statements are served again. */
const recoveryMs = 4_000;

describe("a former primary of which control members know only that it led", { timeout: 240_000 }, () => {
    let world: StatementWorld;
    let former: Database;
    let present: Database;
    let other: Database;

    beforeEach(async () => {
        world = await StatementWorld.open({ members: 3, proxies: 2, sessions: 9, seed: 1 });
        former = world.group.members[0]!;
        world.startClients();
        await waitFor("commits", () => former.log.received > minimumLead);
    });

    afterEach(() => world[Symbol.asyncDispose]());

    async function waitFor(what: string, condition: () => boolean): Promise<void> {
        for (const endsAtMs = performance.now() + stepLimitMs; !condition(); await delay(pollMs)) {
            assert.ok(performance.now() < endsAtMs, `no ${what}`);
        }
    }

    /** Replaces the first primary, which then follows without a report of that. */
    async function replaceFirst(): Promise<void> {
        former.cutOff(everything, true, { control: true });
        await waitFor("first promotion", () => world.platform.promotionCount === 1);
        present = world.group.leader!;
        other = world.group.members.find(member => member !== former && member !== present)!;
        const { received } = present.log;
        former.cutOff(nothing, false, { reports: true });
        await waitFor("commits of the second primary", () => former.log.received > received + minimumLead);
    }

    /** Orders the former primary, while the present one can reach the proxies and the other replica. */
    async function orderFormer(): Promise<void> {
        other.cutOff(nothing, false, { databases: [present] });
        await waitFor("lag of the other replica", () => former.log.received >= other.log.received + minimumLead);
        const { orderedIds } = world.platform;
        const { length } = orderedIds;
        world.platform.nextDelayMs = () => orderDelayMs;
        present.cutOff(everything, true, { control: true });
        await waitFor("second order", () => orderedIds.length > length);
        assert.equal(orderedIds[length], former.id);
        other.reconnect();
        present.cutOff(nothing, false, { control: true, databases: [former] });
    }

    async function checkRules(): Promise<void> {
        await waitFor("second promotion", () => world.platform.promotionCount > 1);
        world.platform.nextDelayMs = () => undefined;
        world.group.members.forEach(member => member.reconnect());
        await world.platform.settle();
        const { servedCount } = world.checker;
        await delay(recoveryMs);
        assert.ok(world.checker.servedCount > servedCount);
        const { broken, examples } = await world.finish();
        assert.deepEqual(broken, noRuleBroken, examples.join("\n"));
    }

    it("leads with all commits that the old primary acknowledged during an order", async () => {
        // Guards against a report of an earlier lead that counts as proof that the order was carried out.
        await replaceFirst();
        await orderFormer();
        await checkRules();
    });

    it("leads with all commits if a report of its first lead arrives during an order", async () => {
        // Guards against a report that a cut has delayed and that counts as proof that the order was carried out.
        await replaceFirst();
        await orderFormer();
        former.reconnect();
        await checkRules();
    });
});
