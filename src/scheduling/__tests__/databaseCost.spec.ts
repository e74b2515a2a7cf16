import { array, assert as check, boolean, constantFrom, double, integer, property, record } from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { DatabaseLoad } from "../../model/databaseLoad.ts";
import { SeededRandom } from "../../pipeline/seededRandom.ts";
import { DatabaseCosts, Distance, type ReadCandidate } from "../databaseCost.ts";

const databaseIds = ["a", "b", "c"];
const slots = 4;

/** Expected wait above which a holder refuses a read. */
const refusedWaitMs = 300;

function loadOf(waitMs: number, busyShare = 0.2): DatabaseLoad {
    return {
        expectedWaitsMs: [waitMs],
        window: slots,
        inFlight: 0,
        availableLinks: 10,
        busyShare,
        position: undefined,
        positionAgeMs: 0,
    };
}

/** A database that runs reads in order of arrival. */
class SlottedDatabase {
    serviceMs = 15;
    private readonly freeAtMs = Array.from({ length: slots }, () => 0);

    waitMs(nowMs: number): number {
        return Math.max(0, Math.min(...this.freeAtMs) - nowMs);
    }

    /** Returns the time at which a read that arrives now has ended. */
    run(nowMs: number): number {
        const startMs = nowMs + this.waitMs(nowMs);
        const slot = this.freeAtMs.indexOf(Math.min(...this.freeAtMs));
        this.freeAtMs[slot] = startMs + this.serviceMs;
        return this.freeAtMs[slot]!;
    }
}

interface Read {
    readonly startMs: number;
    readonly latencyMs: number;
    readonly databaseId: string;
}

/** Plays 129 instances in three regions that send 2 reads per second each to three databases, one in each region. */
function play(
    durationMs: number,
    seed: number,
    disturb: (nowMs: number, databases: SlottedDatabase[]) => void,
): Read[] {
    const random = new SeededRandom(seed);
    const instances = Array.from({ length: 129 }, (_, index) => new DatabaseCosts(new SeededRandom(seed + index)));
    const databases = databaseIds.map(() => new SlottedDatabase());
    const answers: (() => void)[][] = Array.from({ length: durationMs + 20_000 }, () => []);
    const reads: Read[] = [];
    for (let nowMs = 0; nowMs < durationMs; nowMs++) {
        disturb(nowMs, databases);
        answers[nowMs]!.forEach(answer => answer());
        instances.forEach((costs, instance) => {
            if (random.nextFloat() >= 0.002) {
                return;
            }
            const candidates = databaseIds.map((databaseId, index): ReadCandidate => ({
                databaseId,
                distance: index === instance % 3 ? Distance.SameRegion : Distance.OtherRegion,
                isPrimary: index === 0,
                slots,
            }));
            const workspace = `w${random.nextInteger(83)}`;
            const place = (remaining: readonly ReadCandidate[]): string => {
                const databaseId = costs.rank(remaining, { priority: 0, workspace }, nowMs)[0]!;
                const waitMs = databases[databaseIds.indexOf(databaseId)]!.waitMs(nowMs);
                if (waitMs <= refusedWaitMs || remaining.length === 1) {
                    return databaseId;
                }
                costs.recordLoad(databaseId, loadOf(waitMs), nowMs);
                return place(remaining.filter(candidate => candidate.databaseId !== databaseId));
            };
            const databaseId = place(candidates);
            const index = databaseIds.indexOf(databaseId);
            const crossingMs = index === instance % 3 ? 2 : 24;
            const database = databases[index]!;
            costs.recordStart(databaseId);
            const endedMs = Math.ceil(database.run(nowMs) + crossingMs);
            reads.push({ startMs: nowMs, latencyMs: endedMs - nowMs, databaseId });
            answers[Math.min(endedMs, answers.length - 1)]!.push(() => {
                const load = loadOf(database.waitMs(endedMs));
                costs.recordEnd(databaseId);
                costs.recordLoad(databaseId, load, endedMs);
                costs.recordLatency(databaseId, endedMs - nowMs, load, endedMs);
            });
        });
    }
    return reads;
}

function between(reads: readonly Read[], fromMs: number, toMs: number): readonly Read[] {
    return reads.filter(({ startMs }) => startMs >= fromMs && startMs < toMs);
}

function shareOf(reads: readonly Read[], databaseId: string): number {
    return reads.filter(read => read.databaseId === databaseId).length / reads.length;
}

describe("the choice of a database by 129 instances", () => {
    for (const seed of [1, 2, 3]) {
        it(`does not herd when one database turns ten times slower, then quick (seed ${seed})`, () => {
            // Load: 258 reads per second; the slow database can run 27, the others 267 each.
            const reads = play(24_000, seed, (nowMs, databases) => {
                databases[1]!.serviceMs = nowMs >= 4_000 && nowMs < 10_000 ? 150 : 15;
            });
            for (let second = 0; second < 24; second++) {
                const inSecond = between(reads, 1_000 * second, 1_000 * second + 1_000);
                const inTime = inSecond.filter(({ latencyMs }) => latencyMs <= 600).length / inSecond.length;
                assert.ok(inTime >= 0.9, `second ${second}: ${inTime}`);
            }
            for (let startMs = 500; startMs < 24_000; startMs += 500) {
                const inWindow = between(reads, startMs, startMs + 500);
                databaseIds.forEach(databaseId => {
                    const share = shareOf(inWindow, databaseId);
                    assert.ok(share <= 0.75, `${startMs} ms: ${databaseId} ${share}`);
                });
            }
            assert.ok(shareOf(between(reads, 5_000, 10_000), "b") < 0.15);
            assert.ok(shareOf(between(reads, 20_000, 24_000), "b") > 0.2);
        });
    }

    it("keeps the reads of a region there and those of a workspace together while load allows", () => {
        const costs = new DatabaseCosts(new SeededRandom(1));
        const candidates = databaseIds.map((databaseId): ReadCandidate => (
            { databaseId, distance: Distance.SameRegion, isPrimary: false, slots }
        ));
        const choices = (workspace: string, nowMs: number): readonly string[] =>
            Array.from({ length: 200 }, () => costs.rank(candidates, { priority: 0, workspace }, nowMs)[0]!);
        for (let index = 0; index < 83; index++) {
            assert.equal(new Set(choices(`w${index}`, 0)).size, 1, `w${index}`);
        }
        const preferred = choices("w1", 0)[0]!;
        const shareOfPreferred = (nowMs: number): number =>
            choices("w1", nowMs).filter(databaseId => databaseId === preferred).length / 200;
        costs.recordLoad(preferred, loadOf(100), 0);
        assert.ok(shareOfPreferred(0) < 0.1, `${shareOfPreferred(0)} at once`);
        // What is old gives way to what is known of the others.
        assert.ok(shareOfPreferred(20_000) > 0.9, `${shareOfPreferred(20_000)} later`);
    });

    it("ranks all candidates whatever the reports say", () => {
        const falseLoad = record({
            databaseId: constantFrom(...databaseIds),
            waits: array(integer({ min: 0, max: 0xffff_ffff }), { maxLength: 3 }),
            busyShare: double({ min: 0, max: 1, noNaN: true }),
            elapsedMs: integer({ min: 0, max: 10_000 }),
            atMs: integer({ min: 0, max: 100_000 }),
            isPrimary: boolean(),
        });
        check(
            property(array(falseLoad, { maxLength: 20 }), integer(), (reports, seed) => {
                const costs = new DatabaseCosts(new SeededRandom(seed));
                for (const { databaseId, waits, busyShare, elapsedMs, atMs } of reports) {
                    const load = { ...loadOf(0, busyShare), expectedWaitsMs: waits };
                    costs.recordLoad(databaseId, load, atMs);
                    costs.recordLatency(databaseId, elapsedMs, load, atMs);
                    const candidates = reports.slice(0, 3).map((report, index): ReadCandidate => ({
                        databaseId: databaseIds[index]!,
                        distance: Distance.OtherRegion,
                        isPrimary: report.isPrimary,
                        slots: 0,
                    }));
                    const ranked = costs.rank(candidates, { priority: 99, workspace: "" }, atMs);
                    assert.deepEqual([...ranked].sort(), candidates.map(candidate => candidate.databaseId));
                }
            }),
            { seed: 20261207 },
        );
    });
});
