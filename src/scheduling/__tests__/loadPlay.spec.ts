import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type Call, type Demand, type LoadResult, playLoad, shareInTime } from "./loadPlay.ts";

/** Thresholds of all plays are what callers need: the objectives of their routes. */
const scans = { priority: 0, workMs: 3, objectiveMs: 400, limitMs: 2_500 };
const lookups = { priority: 1, workMs: 15, objectiveMs: 600, limitMs: 3_000 };
const settlements = { priority: 2, workMs: 9, objectiveMs: 1_500, limitMs: 2_500 };

const workspaces = ["a", "b", "c", "d", "e"];

/** The three classes on four slots, two thirds busy, for each of five workspaces. */
function threeClasses(factor: (demand: { readonly priority: number; }, atMs: number) => number): readonly Demand[] {
    return workspaces.flatMap(workspace =>
        [{ ...scans, rate: 12 }, { ...lookups, rate: 16 }, { ...settlements, rate: 30 }]
            .map(({ rate, ...kind }) => ({ ...kind, workspace, perSecond: atMs => rate * factor(kind, atMs) }))
    );
}

function ofPriority({ calls }: LoadResult, priority: number): readonly Call[] {
    return calls.filter(({ demand }) => demand.priority === priority);
}

function between(calls: readonly Call[], fromMs: number, untilMs: number): readonly Call[] {
    return calls.filter(({ atMs }) => atMs >= fromMs && atMs < untilMs);
}

function meanLatencyMs(calls: readonly Call[]): number {
    return calls.reduce((sumMs, { servedMs, atMs }) => sumMs + servedMs! - atMs, 0) / calls.length;
}

function describeShares(result: LoadResult): string {
    return [0, 1, 2].map(priority => shareInTime(ofPriority(result, priority)).toFixed(3)).join(", ");
}

function assertNothingStartsTwice({ calls, inFlight }: LoadResult): void {
    assert.ok(calls.every(({ startsMs }) => startsMs.length <= 1));
    assert.ok(calls.every(({ refusedMs, startsMs }) => refusedMs === undefined || startsMs.length === 0));
    assert.ok(inFlight.every(({ count, window }) => count <= window));
    assert.ok(
        calls.every(({ servedMs, refusedMs, failed }) => failed || servedMs !== undefined || refusedMs !== undefined),
    );
}

describe("a load on one database", () => {
    it("with a burst of 2.5 times on the least urgent class leaves the other classes as they were", () => {
        const { firstCome, scheduled } = playLoad({
            slots: 4,
            demands: threeClasses(({ priority }, atMs) => priority === 2 && atMs > 1_000 && atMs < 13_000 ? 2.5 : 1),
            untilMs: 15_000,
        });
        assertNothingStartsTwice(scheduled);
        const shares = `${describeShares(scheduled)} against ${describeShares(firstCome)} in order of arrival`;
        assert.ok(shareInTime(ofPriority(scheduled, 0)) >= 0.999, shares);
        assert.ok(shareInTime(ofPriority(scheduled, 1)) >= 0.99, shares);
        assert.ok(shareInTime(ofPriority(firstCome, 0)) < 0.95, shares);
        assert.ok(shareInTime(ofPriority(scheduled, 2)) >= shareInTime(ofPriority(firstCome, 2)) - 0.02, shares);
        assert.ok(
            ofPriority(scheduled, 0).concat(ofPriority(scheduled, 1)).every(call => call.refusedMs === undefined),
        );
    });

    it("with a workspace at seven times its rate serves the others within their objective and refuses none of them", () => {
        const kind = { priority: 0, workMs: 12, objectiveMs: 800, limitMs: 4_000 };
        const demands = ["rush", "b", "c", "d", "e", "f", "g", "h"].map(workspace => ({
            ...kind,
            workspace,
            perSecond: (atMs: number) => workspace === "rush" ? (atMs > 1_000 && atMs < 11_000 ? 420 : 60) : 20,
        }));
        const { firstCome, scheduled } = playLoad({ slots: 4, demands, untilMs: 13_000 });
        assertNothingStartsTwice(scheduled);
        const [others, othersFirstCome] = [scheduled, firstCome].map(({ calls }) =>
            calls.filter(({ demand }) => demand.workspace !== "rush")
        );
        const shares = `${shareInTime(others!)} against ${shareInTime(othersFirstCome!)} in order of arrival`;
        assert.ok(shareInTime(others!) >= 0.999, shares);
        assert.ok(shareInTime(othersFirstCome!) < 0.95, shares);
        assert.ok(others!.every(({ refusedMs }) => refusedMs === undefined));
        const refused = scheduled.calls.filter(({ refusedMs }) => refusedMs !== undefined);
        assert.ok(refused.length > 100);
        // Most are told at once, and those that lose their place by the time of their objective.
        const lateRefusals = refused.filter(({ refusedMs, atMs }) => refusedMs! - atMs > 100);
        assert.ok(lateRefusals.length < 0.25 * refused.length, `${lateRefusals.length} of ${refused.length}`);
        assert.ok(refused.every(({ refusedMs, atMs }) => refusedMs! - atMs < 1.1 * kind.objectiveMs));
        // The times at which those return who were refused within half a second are spread further.
        const returnsMs = refused.filter(({ refusedMs }) => refusedMs! > 8_000 && refusedMs! < 8_500)
            .map(call => call.refusedMs! + call.retryAfterMs!);
        assert.ok(Math.max(...returnsMs) - Math.min(...returnsMs) > 500);
    });

    it("that has turned ten times slower serves the most urgent class and refuses the others early", () => {
        const { firstCome, scheduled } = playLoad({
            slots: 4,
            demands: threeClasses(() => 1),
            untilMs: 10_000,
            slowness: atMs => atMs > 2_000 && atMs < 7_000 ? 10 : 1,
        });
        assertNothingStartsTwice(scheduled);
        const [urgent, urgentFirstCome] = [scheduled, firstCome].map(result =>
            between(ofPriority(result, 0), 2_500, 7_000)
        );
        const shares = `${shareInTime(urgent!)} against ${shareInTime(urgentFirstCome!)} in order of arrival`;
        assert.ok(shareInTime(urgent!) >= 0.95, shares);
        assert.ok(shareInTime(urgentFirstCome!) < 0.95, shares);
        const after = [scheduled, firstCome].map(({ calls }) => shareInTime(between(calls, 8_000, 10_000)));
        assert.ok(after[0]! >= 0.99 && after[0]! >= after[1]!, `${after[0]} against ${after[1]}`);
    });

    it("that flaps loses fewer statements, and none that was refused has been sent", () => {
        const isDown = (atMs: number): boolean => atMs > 2_000 && atMs < 8_000 && atMs % 1_000 < 500;
        const { firstCome, scheduled } = playLoad({
            slots: 4,
            demands: threeClasses(() => 1),
            untilMs: 10_000,
            slowness: atMs => isDown(atMs) ? Infinity : 1,
        });
        assertNothingStartsTwice(scheduled);
        const [lost, lostFirstCome] = [scheduled, firstCome].map(({ calls }) =>
            calls.filter(({ failed, startsMs }) => failed && startsMs.length > 0).length
        );
        assert.ok(lost! < 0.5 * lostFirstCome!, `${lost} against ${lostFirstCome}`);
        const [served, servedFirstCome] = [scheduled, firstCome].map(result => shareInTime(ofPriority(result, 0)));
        assert.ok(served! >= servedFirstCome!, `${served} against ${servedFirstCome}`);
    });

    it("that starts cold gets a few probes first, and its slots are full within a few answers", () => {
        const { scheduled } = playLoad({
            slots: 4,
            demands: threeClasses(() => 3),
            untilMs: 3_000,
            slowness: atMs => atMs < 1_000 ? 5 : 1,
        });
        const firstAnswerMs = Math.min(...scheduled.calls.map(({ servedMs }) => servedMs ?? Infinity));
        const early = scheduled.inFlight.filter(({ atMs }) => atMs < firstAnswerMs);
        assert.ok(early.every(({ count }) => count <= 2), JSON.stringify(early));
        const served = scheduled.calls.flatMap(({ servedMs }) => servedMs ?? []).sort((left, right) => left - right);
        const fullMs = scheduled.inFlight.find(({ count }) => count >= 4)!.atMs;
        assert.ok(served.filter(atMs => atMs <= fullMs).length <= 4);
    });

    it("that is light gets the same latency as in order of arrival, also after the database was restarted", () => {
        const { firstCome, scheduled } = playLoad({
            slots: 4,
            demands: threeClasses(() => 0.75),
            untilMs: 20_000,
            restartsMs: [8_000],
        });
        assert.equal(shareInTime(scheduled.calls), 1);
        const latencyMs = meanLatencyMs(scheduled.calls);
        const firstComeMs = meanLatencyMs(firstCome.calls);
        assert.ok(latencyMs <= 1.03 * firstComeMs, `${latencyMs} ms against ${firstComeMs} ms`);
    });

    it("that fills its slots is served at the same rate as in order of arrival", () => {
        const demands = workspaces.map(workspace => ({
            ...settlements,
            workspace,
            perSecond: () => 200,
        }));
        const { firstCome, scheduled } = playLoad({ slots: 4, demands, untilMs: 10_000 });
        const [served, servedFirstCome] = [scheduled, firstCome].map(({ calls }) =>
            calls.filter(({ servedMs }) => servedMs !== undefined && servedMs < 10_000).length
        );
        assert.ok(served! >= 0.98 * servedFirstCome!, `${served} against ${servedFirstCome}`);
    });
});
