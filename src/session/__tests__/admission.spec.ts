import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FleetKind, type PermitGrant, type PermitsNeeded } from "../../model/fleetMessages.ts";
import { emptySessionContext, StatementFault } from "../../model/sessionStatement.ts";
import { emptyTrafficPolicy, RouteConsistency } from "../../model/trafficPolicy.ts";
import type { Message } from "../../pipeline/message.ts";
import { SeededRandom } from "../../pipeline/seededRandom.ts";
import { Admission } from "../admission.ts";
import { type Task, type TaskEnded, TaskKind, TaskMode, taskTimer } from "../taskMessages.ts";
import { route } from "./sessionFixture.ts";

/** An instance whose leader answers for workspace "w", and that has used its first permit. */
class Lane {
    private readonly filter = new Admission({ random: new SeededRandom(20261204) });
    readonly admitted: string[] = [];
    readonly refused: TaskEnded[] = [];
    readonly needs: PermitsNeeded[] = [];

    constructor(permits = 1) {
        const workspaces = new Map([["w", { name: "w", keys: [], ratePerSecond: 10, burst: 1 }]]);
        const policy = { ...emptyTrafficPolicy, version: 1, workspaces };
        this.push(0, { kind: FleetKind.PolicyApplied, policy, confirmed: true, promoted: new Map() });
        if (permits > 0) {
            this.grant(0, permits);
            this.submit(0, "first", 1);
        }
    }

    grant(nowMs: number, count: number, extra: Partial<PermitGrant> = {}): void {
        const grants = [{ workspace: "w", count, retryMs: 0, fallback: undefined, ...extra }];
        this.push(nowMs, { kind: FleetKind.PermitsGranted, grants, validUntilMs: nowMs + 1_000 });
    }

    silence(nowMs: number): void {
        this.push(nowMs, { kind: FleetKind.RateLeaderSilent });
    }

    push(nowMs: number, message: Message & Record<string, unknown>): void {
        for (const out of this.filter.process(message as never, nowMs)) {
            if (out.kind === TaskKind.Admitted) {
                this.admitted.push((out as unknown as { readonly task: Task; }).task.taskId);
            }
            else if (out.kind === TaskKind.Ended) {
                this.refused.push(out as TaskEnded);
            }
            else if (out.kind === FleetKind.PermitsNeeded) {
                this.needs.push(out as PermitsNeeded);
            }
        }
    }

    submit(nowMs: number, taskId: string, priority: number): void {
        const task: Task = {
            taskId,
            sessionId: taskId,
            route: { ...route(RouteConsistency.Primary, "orders"), priority, targetLatencyMs: 1_000 },
            service: "s",
            workspace: "w",
            mode: TaskMode.Single,
            statement: undefined,
            writes: false,
            needsPrimary: true,
            context: emptySessionContext,
            sessionFloor: undefined,
            receivedMs: nowMs,
            deadlineMs: nowMs + 1_000,
        };
        this.push(nowMs, { kind: TaskKind.Submitted, task });
    }

    due(nowMs: number): void {
        this.push(nowMs, { ...taskTimer(TaskKind.AdmissionDue, "w") });
    }
}

describe("admission", () => {
    it("gives the permits of a workspace to its most urgent route first", () => {
        // Guards against urgent orders that are refused while lookups of the same workspace use up its rate.
        const lane = new Lane();
        lane.submit(10, "lookup1", 2);
        lane.submit(20, "lookup2", 2);
        lane.submit(30, "order1", 1);
        lane.submit(40, "order2", 1);
        lane.grant(105, 1);
        lane.grant(205, 1);
        assert.deepEqual(lane.admitted, ["first", "order1", "order2"]);
    });

    it("refuses whatever has waited its part of the target latency, in any place of the queue", () => {
        const lane = new Lane();
        lane.submit(0, "lookup", 2);
        lane.submit(90, "order1", 1);
        lane.submit(91, "order2", 1);
        lane.grant(105, 1);
        lane.grant(205, 1);
        lane.due(250);
        assert.deepEqual(lane.admitted, ["first", "order1", "order2"]);
        assert.deepEqual(lane.refused.map(({ task, fault }) => [task.taskId, fault]), [[
            "lookup",
            StatementFault.Busy,
        ]]);
        assert.match(lane.refused[0]!.detail, /not run, retry after \d+ ms/);
    });

    it("keeps operations longer before the first answer of a leader, and admits them with it", () => {
        // Guards against refusals in the few hundred milliseconds between the start of an instance and its first permit.
        const lane = new Lane(0);
        lane.submit(0, "order", 1);
        lane.due(300);
        assert.equal(lane.refused.length, 0);
        lane.grant(400, 1);
        assert.deepEqual(lane.admitted, ["order"]);
        const without = new Lane(0);
        without.submit(500, "late", 1);
        without.due(1_100);
        assert.deepEqual(without.refused.map(({ task }) => task.taskId), ["late"]);
    });

    it("refuses the least urgent when too many wait", () => {
        const lane = new Lane();
        for (let index = 0; index < 64; index++) {
            lane.submit(1, `lookup${index}`, 2);
        }
        lane.submit(2, "order", 1);
        assert.deepEqual(lane.refused.map(({ task }) => task.taskId), ["lookup63"]);
    });

    it("refuses at once what the leader has no permit for in time, and asks again when it has", () => {
        const lane = new Lane();
        lane.submit(0, "order1", 1);
        assert.equal(lane.needs.at(-1)!.waiting, 1);
        lane.grant(20, 0, { retryMs: 400 });
        assert.match(lane.refused[0]!.detail, /retry after 400 ms/);
        lane.submit(30, "order2", 1);
        assert.equal(lane.refused.length, 2);
        lane.submit(300, "order3", 1);
        assert.equal(lane.needs.at(-1)!.waiting, 0);
        lane.due(420);
        assert.equal(lane.needs.at(-1)!.waiting, 1);
    });

    it("uses no permit after its validity", () => {
        const lane = new Lane(3);
        lane.submit(999, "second", 1);
        lane.submit(1_001, "third", 1);
        assert.deepEqual(lane.admitted, ["first", "second"]);
    });

    it("goes on without a leader at its part of the rate, for 10 s", () => {
        const lane = new Lane();
        lane.grant(0, 0, { fallback: { share: 0.5, burst: 2 } });
        lane.silence(100);
        for (let atMs = 100; atMs < 12_000; atMs += 50) {
            lane.submit(atMs, `t${atMs}`, 1);
            lane.due(atMs + 40);
        }
        const times = lane.admitted.slice(1).map(id => Number(id.slice(1)));
        assert.equal(times.filter(atMs => atMs === 100 || atMs === 150).length, 2);
        assert.equal(times.length >= 25 && times.length <= 2 + 5 * 10, true, `${times.length}`);
        assert.equal(times.every(atMs => atMs < 10_000), true);
    });

    it("tells a caller without a leader to come back when there may be one, however small its part of the rate", () => {
        // Guards against callers that give up because they are told to come back after their deadline.
        const lane = new Lane();
        lane.grant(0, 0, { fallback: { share: 0.001, burst: 0 } });
        lane.silence(100);
        lane.submit(100, "order", 1);
        lane.due(350);
        assert.match(lane.refused[0]!.detail, /retry after 1000 ms/);
    });

    it("begins anew without a leader at most once in 10 s, however often the leader falls silent", () => {
        // Guards against a fallback that a slow leader starts again and again.
        const lane = new Lane();
        for (let atMs = 100; atMs < 5_000; atMs += 100) {
            lane.grant(atMs, 0, { fallback: { share: 0.0001, burst: 2 } });
            lane.silence(atMs + 10);
            lane.submit(atMs + 20, `t${atMs}`, 1);
            lane.due(atMs + 80);
        }
        assert.equal(lane.admitted.length <= 1 + 3, true, `${lane.admitted.length}`);
    });
});
