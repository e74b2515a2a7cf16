import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type ColdNeeded, type DatabaseReport, FleetKind, ReportedState } from "../../model/fleetMessages.ts";
import { LinkKind, LinkLoss } from "../../model/linkMessages.ts";
import { PeerKind } from "../../model/peerMessages.ts";
import { emptySessionContext, StatementFault, TaskMode } from "../../model/sessionStatement.ts";
import { emptyTrafficPolicy, type ServicePolicy } from "../../model/trafficPolicy.ts";
import { type DeadlineMessage, DeadlineQueue } from "../../pipeline/deadlineQueue.ts";
import type { Message } from "../../pipeline/message.ts";
import { ColdGate } from "../coldGate.ts";
import { ColdRule } from "../coldRule.ts";
import { PassOverReason } from "../placementRule.ts";
import { type TaskAttempted, TaskKind } from "../taskMessages.ts";

const limited: ServicePolicy = {
    name: "s",
    connectionLimit: 50,
    synchronousReplicas: 1,
    coldStartMs: 8_000,
    coldPerSecond: 10,
};

const warm: DatabaseReport = {
    databaseId: "d",
    service: "s",
    address: "d:1",
    dataCentre: "dc",
    slots: 3,
    state: ReportedState.Ready,
    leads: false,
    sequence: 1,
    bornUnixMs: 1,
    coldLeftMs: 0,
};

const cold: DatabaseReport = { ...warm, coldLeftMs: 5_000 };

function policyApplied(service: ServicePolicy, evacuated?: ReadonlySet<string>): Message {
    const policy = { ...emptyTrafficPolicy, services: new Map([["s", service]]) };
    return { kind: FleetKind.PolicyApplied, policy, ...evacuated === undefined ? {} : { evacuated } } as Message;
}

class GateFixture {
    nowMs = 0;
    /** Ids of the tasks that were sent on, and of those that ended with a fault. */
    sent: string[] = [];
    readonly ended: string[] = [];
    waiting = 0;
    private readonly gate = new ColdGate();
    private readonly deadlines = new DeadlineQueue();

    constructor(report: DatabaseReport = cold, service: ServicePolicy = limited) {
        this.push(policyApplied(service));
        this.push({ kind: FleetKind.DatabaseChanged, report } as Message);
    }

    push(message: Message): void {
        for (const output of this.gate.process(message as never, this.nowMs)) {
            if (output.kind.startsWith("deadline.")) {
                this.deadlines.apply(output as DeadlineMessage);
            }
            else if (output.kind === FleetKind.ColdNeeded) {
                this.waiting = (output as ColdNeeded).waiting;
            }
            else if (output.kind === TaskKind.Attempted) {
                const { task, fault, sent } = output as TaskAttempted;
                assert.equal(sent, false);
                this.ended.push(`${task.taskId} ${fault}`);
            }
            else if (output.kind === TaskKind.Abandoned || output.kind === TaskKind.PassedAbandoned) {
                this.ended.push(`${(output as unknown as { sessionId: string; }).sessionId} abandoned`);
            }
            else if ("task" in output) {
                this.sent.push((output as unknown as { task: { taskId: string; }; }).task.taskId);
            }
        }
    }

    advance(durationMs: number): void {
        this.nowMs += durationMs;
        for (let due = this.deadlines.popDue(this.nowMs); due !== undefined; due = this.deadlines.popDue(this.nowMs)) {
            this.push(due);
        }
    }

    place(taskId: string, mode: TaskMode = TaskMode.Single, kind: string = TaskKind.PassedPlaced): void {
        const task = this.task(taskId, mode);
        this.push({ kind, task, databaseId: "d", floor: undefined, attemptDeadlineMs: this.nowMs + 900 } as Message);
    }

    continue(taskId: string): void {
        this.push({ kind: TaskKind.PassedContinued, task: this.task(taskId, TaskMode.Transaction) } as Message);
    }

    grant(count: number, validMs = 300): void {
        const grants = [{ databaseId: "d", count }];
        const validUntilMs = this.nowMs + validMs;
        this.push({ kind: FleetKind.ColdGranted, grants, askedMs: this.nowMs, validUntilMs } as Message);
    }

    /** The leader answers, and what it grants is used up. */
    useGrant(): void {
        this.grant(1);
        this.place("granted");
        this.push({ kind: TaskKind.PassedAbandoned, sessionId: "granted", taskId: "granted" } as Message);
    }

    report(report: DatabaseReport): void {
        this.push({ kind: FleetKind.DatabaseChanged, report } as Message);
    }

    /** Whether the database is limited now. */
    get isLimited(): boolean {
        const before = this.sent.length;
        this.place("probe?");
        const isSent = this.sent.length > before;
        this.push({ kind: TaskKind.PassedAbandoned, sessionId: "probe?", taskId: "probe?" } as Message);
        return !isSent;
    }

    private task(taskId: string, mode: TaskMode): object {
        const deadlineMs = this.nowMs + 900;
        return {
            taskId,
            sessionId: taskId.split(".")[0],
            service: "s",
            mode,
            context: emptySessionContext,
            deadlineMs,
        };
    }
}

describe("the gate before cold databases", () => {
    it("sends as many tasks as were granted, statements of open transactions first", () => {
        const fixture = new GateFixture();
        fixture.place("x.1", TaskMode.Transaction);
        fixture.grant(1);
        assert.deepEqual(fixture.sent, ["x.1"]);
        ["a", "b"].forEach(taskId => fixture.place(taskId));
        fixture.continue("x.2");
        assert.equal(fixture.waiting, 3);
        fixture.grant(2);
        assert.deepEqual(fixture.sent, ["x.1", "x.2", "a"]);
        assert.equal(fixture.waiting, 1);
    });

    it("sends nothing without a grant, and gives a first statement back as not run before others count it as silent", () => {
        const fixture = new GateFixture();
        fixture.place("a");
        fixture.advance(249);
        assert.deepEqual([fixture.sent, fixture.ended], [[], []]);
        fixture.advance(1);
        assert.deepEqual([fixture.sent, fixture.ended, fixture.waiting], [[], [`a ${StatementFault.Busy}`], 0]);
    });

    it("rolls back a transaction whose next statement gets no grant in time", () => {
        const fixture = new GateFixture();
        fixture.place("x.1", TaskMode.Transaction);
        fixture.grant(1);
        fixture.continue("x.2");
        fixture.advance(840);
        assert.deepEqual(fixture.ended, []);
        fixture.advance(10);
        assert.deepEqual(fixture.ended, ["x abandoned", `x.2 ${StatementFault.Aborted}`]);
    });

    it("uses no grant after its time", () => {
        const fixture = new GateFixture();
        fixture.grant(2, 300);
        fixture.advance(299);
        fixture.place("a");
        fixture.advance(1);
        fixture.place("b");
        assert.deepEqual(fixture.sent, ["a"]);
    });

    it("drops tasks whose session has ended, and ends those whose instance stops", () => {
        const fixture = new GateFixture();
        ["a", "b"].forEach(taskId => fixture.place(taskId));
        fixture.push({ kind: TaskKind.PassedAbandoned, sessionId: "a", taskId: "a" } as Message);
        fixture.push({ kind: TaskKind.Expired, taskId: "b" } as Message);
        fixture.grant(2);
        assert.deepEqual([fixture.sent, fixture.ended], [[], ["a abandoned", `b ${StatementFault.Busy}`]]);
    });

    it("lets questions of the proxy itself pass, and everything to databases without a limit", () => {
        const fixture = new GateFixture();
        fixture.place("p", TaskMode.Probe);
        assert.deepEqual(fixture.sent, ["p"]);
        const unlimited: ServicePolicy = { name: "s", connectionLimit: 50, synchronousReplicas: 1 };
        for (const service of [unlimited, { ...limited, coldPerSecond: 0 }]) {
            assert.equal(new GateFixture(cold, service).isLimited, false);
        }
        assert.equal(new GateFixture(warm).isLimited, false);
    });

    it("lets waiting tasks go once the database, or the policy, says that there is no limit", () => {
        for (
            const end of [
                (fixture: GateFixture) => fixture.report(warm),
                (fixture: GateFixture) => fixture.push(policyApplied({ ...limited, coldPerSecond: 0 })),
                (fixture: GateFixture) => fixture.push({ kind: FleetKind.DatabaseRemoved, databaseId: "d" } as Message),
            ]
        ) {
            const fixture = new GateFixture();
            fixture.place("a");
            end(fixture);
            assert.deepEqual([fixture.sent, fixture.waiting], [["a"], 0]);
        }
    });

    it("takes a database for cold that has started again, whatever it says, and one without a report of its own", () => {
        for (const report of [{ ...warm, bornUnixMs: 2 }, { ...warm, bornUnixMs: 2, coldLeftMs: undefined }]) {
            const fixture = new GateFixture(warm);
            fixture.report(report);
            assert.equal(fixture.isLimited, true);
            fixture.advance(7_999);
            assert.equal(fixture.isLimited, true);
            fixture.advance(1);
            assert.equal(fixture.isLimited, false);
        }
    });

    it("takes a database for cold that appears later than others of its service", () => {
        const fixture = new GateFixture({ ...warm, databaseId: "e" });
        fixture.advance(3_001);
        fixture.report(warm);
        assert.equal(fixture.isLimited, true);
    });

    it("takes a database for cold whose links broke, for a shorter time", () => {
        const fixture = new GateFixture(warm);
        const lost = { kind: LinkKind.Lost, linkId: "l", fault: undefined, databaseId: "d" };
        fixture.push({ ...lost, loss: LinkLoss.Refused } as Message);
        assert.equal(fixture.isLimited, false);
        fixture.push({ ...lost, loss: LinkLoss.NoListener } as Message);
        fixture.advance(2_400);
        fixture.push({ ...lost, loss: LinkLoss.Broken } as Message);
        fixture.advance(2_599);
        fixture.useGrant();
        assert.equal(fixture.isLimited, true);
        fixture.advance(1);
        fixture.useGrant();
        assert.equal(fixture.isLimited, false);
        fixture.push({ ...lost, loss: LinkLoss.Broken } as Message);
        fixture.advance(2_499);
        fixture.useGrant();
        assert.equal(fixture.isLimited, true);
        fixture.advance(1);
        fixture.useGrant();
        assert.equal(fixture.isLimited, false);
    });

    it("takes a database for cold that refused a connection, until its next reports must be known", () => {
        const fixture = new GateFixture(warm);
        const lost = { kind: LinkKind.Lost, linkId: "l", loss: LinkLoss.NoListener, fault: undefined };
        fixture.push({ ...lost, databaseId: "d" } as Message);
        assert.equal(fixture.isLimited, true);
        fixture.advance(4_999);
        fixture.useGrant();
        assert.equal(fixture.isLimited, true);
        fixture.advance(1);
        fixture.useGrant();
        assert.equal(fixture.isLimited, false);
        fixture.push(lost as Message);
        fixture.push({ ...lost, databaseId: "unknown" } as Message);
        assert.equal(fixture.isLimited, false);
    });

    it("takes a database for cold whose links broke while the instance is out of touch, until the leader answers", () => {
        for (const loss of [LinkLoss.Broken, LinkLoss.NoListener]) {
            const fixture = new GateFixture(warm);
            fixture.push({ kind: LinkKind.Lost, linkId: "l", loss, fault: undefined, databaseId: "d" } as Message);
            fixture.advance(60_000);
            ["a", "b", "c"].forEach(taskId => fixture.place(taskId));
            assert.deepEqual([fixture.sent, fixture.waiting], [[], 3]);
            fixture.grant(1);
            assert.deepEqual([fixture.sent, fixture.waiting], [["a", "b", "c"], 0]);
            assert.equal(fixture.isLimited, false);
        }
    });

    it("takes the databases of a data centre for cold whose evacuation has ended", () => {
        const fixture = new GateFixture(warm);
        fixture.push(policyApplied(limited, new Set(["dc", "dc2"])));
        assert.equal(fixture.isLimited, false);
        fixture.push(policyApplied(limited, new Set(["dc"])));
        assert.equal(fixture.isLimited, false);
        fixture.push(policyApplied(limited));
        assert.equal(fixture.isLimited, true);
        fixture.advance(8_000);
        assert.equal(fixture.isLimited, false);
    });
});

describe("the rule of cold databases", () => {
    const demand = { route: undefined as never, workspace: "w" };

    function ruleWith(instances: number, report: DatabaseReport, service = limited): ColdRule {
        const rule = new ColdRule({ tolerance: { excess: 1.5, statements: 5 } });
        rule.process(policyApplied(service) as never, 0);
        rule.process({ kind: FleetKind.DatabaseChanged, report }, 0);
        const known = Array.from({ length: instances }, (_, index) => ({
            instanceId: `i${index}`,
            address: `i${index}:1`,
            dataCentre: "dc",
        }));
        rule.process({ kind: PeerKind.InstancesKnown, instances: known }, 0);
        return rule;
    }

    it("spaces the tasks of this instance, and tells when the next one may go", () => {
        // 20 tasks a second for all; 32 instances, each of which may send up to 8 times its equal part.
        const rule = ruleWith(32, cold);
        assert.equal(rule.check(cold, demand, 100), undefined);
        rule.recordPlaced(cold, 100);
        assert.deepEqual(rule.check(cold, demand, 150), { reason: PassOverReason.Cold, retryAfterMs: 150 });
        assert.equal(rule.check(cold, demand, 300), undefined);
    });

    it("never allows one instance more than the limit, and nothing where that is below one task", () => {
        const alone = ruleWith(1, cold);
        alone.recordPlaced(cold, 0);
        assert.equal(alone.check(cold, demand, 0)?.retryAfterMs, 50);
        const rule = new ColdRule({ tolerance: { excess: 1, statements: 0 } });
        rule.process(policyApplied({ ...limited, coldPerSecond: 0.5 }) as never, 0);
        rule.process({ kind: FleetKind.DatabaseChanged, report: cold }, 0);
        assert.equal(rule.check(cold, demand, 0)?.reason, PassOverReason.Cold);
        rule.recordPlaced(cold, 0);
    });

    it("has no objection to databases that are warm or have no limit", () => {
        for (const rule of [ruleWith(3, warm), ruleWith(3, cold, { ...limited, coldPerSecond: 0 })]) {
            rule.recordPlaced(warm, 0);
            assert.equal(rule.check(warm, demand, 0), undefined);
        }
    });
});
