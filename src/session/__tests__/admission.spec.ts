import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FleetKind, type PermitGrant, type PermitsNeeded } from "../../model/fleetMessages.ts";
import { emptySessionContext, StatementFault, TaskMode } from "../../model/sessionStatement.ts";
import { emptyTrafficPolicy, RouteConsistency } from "../../model/trafficPolicy.ts";
import type { Message } from "../../pipeline/message.ts";
import { SeededRandom } from "../../pipeline/seededRandom.ts";
import { Admission } from "../admission.ts";
import { type Task, type TaskEnded, TaskKind, taskTimer } from "../taskMessages.ts";
import { route } from "./sessionFixture.ts";

/** The admission filter of an instance that has used its first permit for workspace "w". */
class AdmissionFixture {
    private readonly filter = new Admission({ random: new SeededRandom(20261204) });
    readonly admitted: string[] = [];
    readonly refused: TaskEnded[] = [];
    readonly permitReports: PermitsNeeded[] = [];

    constructor(permits = 1) {
        const workspaces = new Map([["w", { name: "w", keys: [], ratePerSecond: 10, burst: 1 }]]);
        const policy = { ...emptyTrafficPolicy, version: 1, workspaces };
        this.push(0, {
            kind: FleetKind.PolicyApplied,
            policy,
            confirmed: true,
            promoted: new Map(),
            ordered: new Map(),
            completedFences: new Map(),
        });
        if (permits > 0) {
            this.grantPermits(0, permits);
            this.submit(0, "first", 1);
        }
    }

    grantPermits(nowMs: number, count: number, extra: Partial<PermitGrant> = {}): void {
        const grants = [{ workspace: "w", count, retryMs: 0, fallback: undefined, ...extra }];
        this.push(nowMs, { kind: FleetKind.PermitsGranted, grants, validUntilMs: nowMs + 1_000 });
    }

    loseLeader(nowMs: number): void {
        this.push(nowMs, { kind: FleetKind.RateLeaderSilent });
    }

    push(nowMs: number, message: Message & Record<string, unknown>): void {
        for (const output of this.filter.process(message as never, nowMs)) {
            if (output.kind === TaskKind.Admitted) {
                this.admitted.push((output as unknown as { readonly task: Task; }).task.taskId);
            }
            else if (output.kind === TaskKind.Ended) {
                this.refused.push(output as TaskEnded);
            }
            else if (output.kind === FleetKind.PermitsNeeded) {
                this.permitReports.push(output as PermitsNeeded);
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

    fireTimer(nowMs: number): void {
        this.push(nowMs, { ...taskTimer(TaskKind.AdmissionDue, "w") });
    }
}

describe("admission", () => {
    it("gives the permits of a workspace to its route of the highest priority first", () => {
        // Guards against refusals of urgent operations while less urgent ones of the same workspace use up its rate.
        const fixture = new AdmissionFixture();
        fixture.submit(10, "lookup1", 2);
        fixture.submit(20, "lookup2", 2);
        fixture.submit(30, "order1", 1);
        fixture.submit(40, "order2", 1);
        fixture.grantPermits(105, 1);
        fixture.grantPermits(205, 1);
        assert.deepEqual(fixture.admitted, ["first", "order1", "order2"]);
    });

    it("refuses operations that have waited their share of the target latency, at any position in the queue", () => {
        const fixture = new AdmissionFixture();
        fixture.submit(0, "lookup", 2);
        fixture.submit(90, "order1", 1);
        fixture.submit(91, "order2", 1);
        fixture.grantPermits(105, 1);
        fixture.grantPermits(205, 1);
        fixture.fireTimer(250);
        assert.deepEqual(fixture.admitted, ["first", "order1", "order2"]);
        assert.deepEqual(fixture.refused.map(({ task, fault }) => [task.taskId, fault]), [[
            "lookup",
            StatementFault.Busy,
        ]]);
        assert.match(fixture.refused[0]!.detail, /not run, retry after \d+ ms/);
    });

    it("lets operations wait longer before the first answer of a leader, and then admits them", () => {
        // Guards against refusals in the few hundred milliseconds between the start of an instance and its first grant.
        const fixture = new AdmissionFixture(0);
        fixture.submit(0, "order", 1);
        fixture.fireTimer(300);
        assert.equal(fixture.refused.length, 0);
        fixture.grantPermits(400, 1);
        assert.deepEqual(fixture.admitted, ["order"]);
        const neverAnswered = new AdmissionFixture(0);
        neverAnswered.submit(500, "late", 1);
        neverAnswered.fireTimer(1_100);
        assert.deepEqual(neverAnswered.refused.map(({ task }) => task.taskId), ["late"]);
    });

    it("lets operations wait longer for the leader's first answer for their workspace, and says when to come back", () => {
        // Load: after a restart of all instances, the leader's answers for the workspaces arrive one after the other.
        const fixture = new AdmissionFixture(0);
        fixture.submit(0, "early", 1);
        const grants = [{ workspace: "other", count: 1, retryMs: 0, fallback: undefined }];
        fixture.push(30, { kind: FleetKind.PermitsGranted, grants, validUntilMs: 1_000 });
        fixture.fireTimer(250);
        fixture.submit(260, "late", 1);
        assert.equal(fixture.refused.length, 0);
        fixture.grantPermits(400, 1);
        assert.deepEqual(fixture.admitted, ["early"]);
        fixture.fireTimer(600);
        assert.match(fixture.refused[0]!.detail, /not run, retry after 200 ms/);
    });

    it("does not bring back at once those whom it refuses together, and the most urgent first", () => {
        // Load: 30 callers come back after a loss of power, and the leader has not answered in time for any of them.
        const fixture = new AdmissionFixture(0);
        for (let index = 0; index < 30; index++) {
            fixture.submit(0, `caller${index}`, 2 - index % 2);
        }
        fixture.fireTimer(600);
        assert.equal(fixture.refused.length, 30);
        const times = fixture.refused.map(({ detail }) => Number(/retry after (\d+) ms/.exec(detail)![1]));
        assert.ok(new Set(times).size >= 15, `${new Set(times).size} times for 30 callers`);
        assert.ok(times.every(time => time >= 1_000 && time <= 2_000), times.join());
        assert.deepEqual(
            fixture.refused.slice(0, 15).map(({ task }) => (task as Task).route.priority),
            Array(15).fill(1),
        );
    });

    it("refuses the operation of the lowest priority when the queue is full", () => {
        const fixture = new AdmissionFixture();
        for (let index = 0; index < 64; index++) {
            fixture.submit(1, `lookup${index}`, 2);
        }
        fixture.submit(2, "order", 1);
        assert.deepEqual(fixture.refused.map(({ task }) => task.taskId), ["lookup63"]);
    });

    it("refuses operations at once when the leader's retry delay is too long, and requests permits after it", () => {
        const fixture = new AdmissionFixture();
        fixture.submit(0, "order1", 1);
        assert.equal(fixture.permitReports.at(-1)!.waiting, 1);
        fixture.grantPermits(20, 0, { retryMs: 400 });
        assert.match(fixture.refused[0]!.detail, /retry after 400 ms/);
        fixture.submit(30, "order2", 1);
        assert.equal(fixture.refused.length, 2);
        fixture.submit(300, "order3", 1);
        assert.equal(fixture.permitReports.at(-1)!.waiting, 0);
        fixture.fireTimer(420);
        assert.equal(fixture.permitReports.at(-1)!.waiting, 1);
    });

    it("does not prefetch before the leader's retry time, whose end the answer would be", () => {
        const fixture = new AdmissionFixture(0);
        for (let index = 0; index < 20; index++) {
            fixture.submit(index, `order${index}`, 1);
        }
        fixture.grantPermits(20, 0, { retryMs: 400 });
        const reports = fixture.permitReports.length;
        fixture.submit(300, "during", 1);
        fixture.submit(430, "after", 1);
        const prefetches = fixture.permitReports.slice(reports - 1).map(({ prefetch }) => prefetch > 0);
        assert.deepEqual(prefetches, [false, false, true]);
    });

    it("does not use expired permits", () => {
        const fixture = new AdmissionFixture(3);
        fixture.submit(999, "second", 1);
        fixture.submit(1_001, "third", 1);
        assert.deepEqual(fixture.admitted, ["first", "second"]);
    });

    it("admits operations without a leader at its share of the rate for 10 s", () => {
        const fixture = new AdmissionFixture();
        fixture.grantPermits(0, 0, { fallback: { share: 0.5, burst: 2 } });
        fixture.loseLeader(100);
        for (let atMs = 100; atMs < 12_000; atMs += 50) {
            fixture.submit(atMs, `t${atMs}`, 1);
            fixture.fireTimer(atMs + 40);
        }
        const times = fixture.admitted.slice(1).map(id => Number(id.slice(1)));
        assert.equal(times.filter(atMs => atMs === 100 || atMs === 150).length, 2);
        assert.equal(times.length >= 25 && times.length <= 2 + 5 * 10, true, `${times.length}`);
        assert.equal(times.every(atMs => atMs < 10_000), true);
    });

    it("limits the retry delay without a leader to the time of a failover, however small its share of the rate", () => {
        // Guards against retry delays beyond the deadline of the caller, which would then give up.
        const fixture = new AdmissionFixture();
        fixture.grantPermits(0, 0, { fallback: { share: 0.001, burst: 0 } });
        fixture.loseLeader(100);
        fixture.submit(100, "order", 1);
        fixture.fireTimer(350);
        assert.match(fixture.refused[0]!.detail, /retry after 1000 ms/);
    });

    it("grants new fallback tokens at most once in 10 s, however often the leader stops answering", () => {
        // Guards against a slow leader that starts the fallback, with new tokens, again and again.
        const fixture = new AdmissionFixture();
        for (let atMs = 100; atMs < 5_000; atMs += 100) {
            fixture.grantPermits(atMs, 0, { fallback: { share: 0.0001, burst: 2 } });
            fixture.loseLeader(atMs + 10);
            fixture.submit(atMs + 20, `t${atMs}`, 1);
            fixture.fireTimer(atMs + 80);
        }
        assert.equal(fixture.admitted.length <= 1 + 3, true, `${fixture.admitted.length}`);
    });
});
