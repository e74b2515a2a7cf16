import { array, assert as check, constantFrom, integer, property, record } from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SeededRandom } from "../../pipeline/seededRandom.ts";
import { isLinkWorthOpening, LinkUse } from "../linkChoice.ts";

const statementMs = 15;
const openMs = 12;

interface PlayedLink {
    readonly workspace: string;
    freeAtMs: number;
    idleSinceMs: number;
}

interface PlayResult {
    readonly opened: number;
    readonly meanLatencyMs: number;
}

/**
 * Plays statements of 83 workspaces, a few of them large, on one database that accepts 52 connections and runs 4
 * statements at once: 80 per second, in bursts.
 */
function play(seed: number, choosesByExpectedTime: boolean): PlayResult {
    const random = new SeededRandom(seed);
    const use = new LinkUse();
    const slots = [0, 0, 0, 0];
    const links: PlayedLink[] = [];
    let opened = 0;
    let totalLatencyMs = 0;
    let statements = 0;
    let nowMs = 0;
    const occupySlot = (durationMs: number): number => {
        const slot = slots.indexOf(Math.min(...slots));
        slots[slot] = Math.max(nowMs, slots[slot]!) + durationMs;
        return slots[slot]!;
    };
    while (nowMs < 60_000) {
        nowMs += 25 * random.nextFloat();
        const workspace = `w${Math.floor(83 ** random.nextFloat() - 1)}`;
        const own = links.filter(link => link.workspace === workspace);
        let link = own.find(({ freeAtMs }) => freeAtMs <= nowMs);
        const supply = { busy: own.length, opening: 0, waiting: 1, meanBusyMs: statementMs };
        const mustOpen = choosesByExpectedTime ? isLinkWorthOpening(supply) : true;
        if (link === undefined && !mustOpen) {
            link = own.reduce((left, right) => right.freeAtMs < left.freeAtMs ? right : left);
        }
        if (link === undefined) {
            const idle = links.filter(({ freeAtMs }) => freeAtMs <= nowMs);
            if (links.length >= 52) {
                const closed = choosesByExpectedTime
                    ? use.chooseToClose(idle, nowMs)!
                    : idle.reduce((left, right) => right.idleSinceMs < left.idleSinceMs ? right : left);
                links.splice(links.indexOf(closed), 1);
            }
            link = { workspace, freeAtMs: occupySlot(openMs), idleSinceMs: 0 };
            links.push(link);
            opened += 1;
        }
        use.recordUse(workspace, nowMs);
        link.freeAtMs = Math.max(Math.max(link.freeAtMs, nowMs) + statementMs, occupySlot(statementMs));
        link.idleSinceMs = link.freeAtMs;
        totalLatencyMs += link.freeAtMs - nowMs;
        statements += 1;
    }
    return { opened, meanLatencyMs: totalLatencyMs / statements };
}

describe("connections of many workspaces to one database", () => {
    for (const seed of [1, 2, 3]) {
        it(`are opened less often without a loss of latency (seed ${seed})`, () => {
            const before = play(seed, false);
            const now = play(seed, true);
            assert.ok(now.opened < 0.8 * before.opened, `${now.opened} of ${before.opened} opened`);
            assert.ok(now.meanLatencyMs <= 1.02 * before.meanLatencyMs, `${now.meanLatencyMs} ms`);
        });
    }

    it("are opened at once for a workspace without one, and for a crowd behind few", () => {
        const supply = { busy: 0, opening: 0, waiting: 1, meanBusyMs: statementMs };
        assert.equal(isLinkWorthOpening(supply), true);
        assert.equal(isLinkWorthOpening({ ...supply, busy: 1 }), false);
        assert.equal(isLinkWorthOpening({ ...supply, busy: 1, waiting: 4 }), true);
        assert.equal(isLinkWorthOpening({ ...supply, busy: 1, waiting: 4, opening: 4 }), false);
        assert.equal(isLinkWorthOpening({ ...supply, busy: 1, meanBusyMs: 150 }), true);
    });

    it("are closed where the next use is the furthest away, and only if idle", () => {
        const link = record({
            workspace: constantFrom("a", "b", "c"),
            idleSinceMs: integer({ min: 0, max: 1_000 }),
        });
        check(
            property(array(link), array(constantFrom("a", "b", "c")), (idle, uses) => {
                const use = new LinkUse();
                uses.forEach(workspace => use.recordUse(workspace, 1_000));
                const closed = use.chooseToClose(idle, 1_000);
                assert.equal(closed === undefined, idle.length === 0);
                const reuse = (workspace: string): number =>
                    uses.filter(name => name === workspace).length
                    / idle.filter(other => other.workspace === workspace).length;
                idle.forEach(other => assert.ok(reuse(closed!.workspace) <= reuse(other.workspace) + 1e-9));
            }),
            { seed: 20261207 },
        );
    });
});
