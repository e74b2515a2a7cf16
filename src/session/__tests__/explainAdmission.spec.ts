import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type ExplanationAsked, ExplanationKind, type Finding, Verdict } from "../../model/explanation.ts";
import { FleetKind } from "../../model/fleetMessages.ts";
import { emptySessionContext, TaskMode } from "../../model/sessionStatement.ts";
import { emptyTrafficPolicy, RouteConsistency, type RoutePolicy } from "../../model/trafficPolicy.ts";
import { DeadlineKind, type DeadlineMessage, DeadlineQueue } from "../../pipeline/deadlineQueue.ts";
import type { Message } from "../../pipeline/message.ts";
import { SeededRandom } from "../../pipeline/seededRandom.ts";
import { Admission } from "../admission.ts";
import { type Task, TaskKind } from "../taskMessages.ts";
import { askedFor } from "./explanationQuestions.ts";
import { route } from "./sessionFixture.ts";

const workspaces = new Map([["w", { name: "w", keys: [], ratePerSecond: 10, burst: 1 }]]);

function routeOf(priority: number): RoutePolicy {
    return { ...route(RouteConsistency.Primary, "orders"), priority, targetLatencyMs: 1_000 };
}

/** The admission filter of one instance with its timers. */
class AdmissionWorld {
    nowMs = 0;
    readonly outputs: string[] = [];
    private readonly filter = new Admission({ random: new SeededRandom(5) });
    private readonly deadlines = new DeadlineQueue();

    constructor() {
        const policy = { ...emptyTrafficPolicy, version: 1, workspaces };
        this.push({ kind: FleetKind.PolicyApplied, policy } as unknown as Message);
    }

    advance(durationMs: number): void {
        this.nowMs += durationMs;
        for (let due = this.deadlines.popDue(this.nowMs); due !== undefined; due = this.deadlines.popDue(this.nowMs)) {
            this.push(due);
        }
    }

    grant(count: number, retryMs: number): void {
        const fallback = { share: 0.5, burst: 2, receivedMs: 0 };
        const grants = [{ workspace: "w", count, retryMs, fallback }];
        this.push({ kind: FleetKind.PermitsGranted, grants, validUntilMs: this.nowMs + 300 } as Message);
    }

    loseLeader(): void {
        this.push({ kind: FleetKind.RateLeaderSilent });
    }

    /** Returns the messages about the task at once. */
    submit(taskId: string, priority: number): readonly Message[] {
        const { nowMs } = this;
        const task: Task = {
            taskId,
            sessionId: taskId,
            route: routeOf(priority),
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
        const submitted = this.push({ kind: TaskKind.Submitted, task } as Message);
        return submitted.filter(output => (output as { readonly task?: Task; }).task?.taskId === taskId);
    }

    ask(priority: number, workspace = "w"): { readonly passesOn: boolean; readonly finding: Finding; } {
        const request = { database: "orders", workspace, writes: false };
        const asked = askedFor(request, { route: routeOf(priority) });
        const outputs = this.filter.process(asked, this.nowMs) as readonly ExplanationAsked[];
        assert.equal(outputs.length, 1);
        assert.equal(outputs[0]!.findings.length, 1);
        return { passesOn: outputs[0]!.kind === ExplanationKind.Asked, finding: outputs[0]!.findings[0]! };
    }

    private push(message: Message): readonly Message[] {
        const outputs = this.filter.process(message as never, this.nowMs);
        for (const output of outputs) {
            if (output.kind === DeadlineKind.Set || output.kind === DeadlineKind.Clear) {
                this.deadlines.apply(output as DeadlineMessage);
            }
            this.outputs.push(`${this.nowMs} ${JSON.stringify(output)}`);
        }
        return outputs;
    }
}

type Step = (world: AdmissionWorld, onSubmit: (taskId: string, priority: number) => void) => void;

let nextTask = 0;
const anyStep: fc.Arbitrary<Step> = fc.oneof(
    { weight: 3, arbitrary: fc.integer({ min: 0, max: 130 }).map((ms): Step => world => world.advance(ms)) },
    {
        weight: 2,
        arbitrary: fc.tuple(fc.integer({ min: 0, max: 3 }), fc.constantFrom(0, 0, 120, 900))
            .map(([count, retryMs]): Step => world => world.grant(count, retryMs)),
    },
    { weight: 1, arbitrary: fc.constant<Step>(world => world.loseLeader()) },
    {
        weight: 6,
        arbitrary: fc.integer({ min: 0, max: 2 })
            .map((priority): Step => (_world, onSubmit) => onSubmit(`t${nextTask++}`, priority)),
    },
);

describe("what admission says of an operation", () => {
    it("is what it does with the operation then", () => {
        const seen = new Set<string>();
        fc.assert(
            fc.property(fc.array(anyStep, { minLength: 5, maxLength: 90, size: "max" }), steps => {
                const world = new AdmissionWorld();
                steps.forEach(step =>
                    step(world, (taskId, priority) => {
                        const { finding: { verdict, facts }, passesOn } = world.ask(priority);
                        const outputs = world.submit(taskId, priority);
                        const expected = outputs.length === 0
                            ? Verdict.Waits
                            : outputs[0]!.kind === TaskKind.Admitted
                            ? Verdict.Passes
                            : Verdict.Refused;
                        assert.equal(verdict, expected, JSON.stringify(facts));
                        assert.equal(passesOn, verdict !== Verdict.Refused);
                        seen.add(verdict);
                    })
                );
            }),
            { seed: 4, numRuns: 400 },
        );
        assert.deepEqual([...seen].sort(), [Verdict.Passes, Verdict.Refused, Verdict.Waits]);
    });

    it("changes nothing, also of tokens, and of workspaces that it does not know yet", () => {
        fc.assert(
            fc.property(fc.array(anyStep, { minLength: 5, maxLength: 60, size: "max" }), steps => {
                const run = (asks: boolean): readonly string[] => {
                    const world = new AdmissionWorld();
                    let number = 0;
                    steps.forEach(step => {
                        step(world, (_taskId, priority) => void world.submit(`t${number++}`, priority));
                        if (asks) {
                            ["w", "", "other"].forEach(workspace => world.ask(1, workspace));
                        }
                    });
                    return world.outputs;
                };
                assert.deepEqual(run(true), run(false));
            }),
            { seed: 5, numRuns: 200 },
        );
    });

    it("tells the level of permits and the earliest time to come back", () => {
        const world = new AdmissionWorld();
        world.grant(2, 0);
        const facts = { rate_per_second: 10, permits: 2, waiting: 0 };
        assert.deepEqual(world.ask(1).finding, {
            step: "admission",
            subject: "w",
            verdict: Verdict.Passes,
            reason: "a permit is left",
            facts,
        });
        world.advance(400);
        world.grant(0, 700);
        const { verdict, facts: later } = world.ask(1).finding;
        assert.deepEqual([verdict, later], [Verdict.Refused, { ...facts, permits: 0, retry_after_ms: 700 }]);
        assert.equal(world.ask(1, "").finding.reason, "callers without a workspace have no rate");
    });
});
