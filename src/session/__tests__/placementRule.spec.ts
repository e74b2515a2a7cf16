import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type DatabaseReport, FleetKind, ReportedState } from "../../model/fleetMessages.ts";
import { emptySessionContext, SessionStatementKind, StatementFault, TaskMode } from "../../model/sessionStatement.ts";
import { RouteConsistency, type RoutePolicy } from "../../model/trafficPolicy.ts";
import { type PassedOver, PassOverReason, type PlacementRule } from "../placementRule.ts";
import { Routing } from "../routing.ts";
import { type Task, type TaskEnded, TaskKind, type TaskPlaced } from "../taskMessages.ts";

const route: RoutePolicy = {
    name: "r",
    database: "db",
    service: "s",
    consistency: RouteConsistency.Bounded,
    maximumAgeMs: 1_000,
    statementLimitMs: 800,
    targetLatencyMs: 400,
    priority: 1,
    open: false,
};

const task: Task = {
    taskId: "t1",
    sessionId: "c",
    service: "s",
    workspace: "w",
    mode: TaskMode.Single,
    statement: {
        kind: SessionStatementKind.Read,
        id: "1",
        text: "READ 1",
        name: "",
        argument: "",
        prepared: undefined,
    },
    writes: false,
    needsPrimary: false,
    context: emptySessionContext,
    deadlineMs: 800,
    route,
    sessionFloor: undefined,
    receivedMs: 0,
};

function database(databaseId: string, leads: boolean): DatabaseReport {
    return {
        databaseId,
        service: "s",
        address: `${databaseId}:1`,
        dataCentre: "d",
        slots: 3,
        state: ReportedState.Ready,
        leads,
        sequence: 1,
        bornUnixMs: 0,
    };
}

/** Passes over the databases of a list. */
class ListRule implements PlacementRule {
    readonly placed: string[] = [];
    private readonly objections: ReadonlyMap<string, PassedOver>;

    constructor(objections: ReadonlyMap<string, PassedOver>) {
        this.objections = objections;
    }

    check({ databaseId }: DatabaseReport): PassedOver | undefined {
        return this.objections.get(databaseId);
    }

    recordPlaced({ databaseId }: DatabaseReport): void {
        this.placed.push(databaseId);
    }
}

function routingWith(rule: PlacementRule): Routing {
    const routing = new Routing({ dataCentre: "d", rules: [rule] });
    for (const report of [database("a", true), database("b", false)]) {
        routing.process({ kind: FleetKind.DatabaseChanged, report }, 0);
    }
    const sample = { position: { term: 1, offset: 5 }, atMs: 0 };
    routing.process({ kind: TaskKind.FloorLearned, service: "s", sample }, 0);
    return routing;
}

describe("rules of placement", () => {
    const evacuated: PassedOver = { reason: PassOverReason.Evacuated, retryAfterMs: 5_000 };
    const cold: PassedOver = { reason: PassOverReason.Cold, retryAfterMs: 100 };

    it("send a read to the only database that they allow", () => {
        for (const [forbidden, allowed] of [["a", "b"], ["b", "a"]] as const) {
            const rule = new ListRule(new Map([[forbidden, evacuated]]));
            const messages = routingWith(rule).process({ kind: TaskKind.Admitted, task }, 0);
            const placed = messages.find(({ kind }) => kind === TaskKind.Placed) as TaskPlaced;
            assert.equal(placed.databaseId, allowed);
            assert.deepEqual(rule.placed, [allowed]);
        }
    });

    it("refuse at once, with the time to come back, what no allowed database can run", () => {
        const rule = new ListRule(new Map([["a", evacuated], ["b", { ...evacuated, retryAfterMs: 3_000 }]]));
        for (const needsPrimary of [false, true]) {
            const messages = routingWith(rule).process({ kind: TaskKind.Admitted, task: { ...task, needsPrimary } }, 0);
            const ended = messages.find(({ kind }) => kind === TaskKind.Ended) as TaskEnded;
            assert.equal(ended.fault, StatementFault.Busy);
            assert.match(
                ended.detail,
                new RegExp(`evacuated.*not run, retry after ${needsPrimary ? 5_000 : 3_000} ms`),
            );
        }
        assert.deepEqual(rule.placed, []);
    });

    it("let a task wait for a database that may get it within the objective", () => {
        const objections = new Map([["a", cold]]);
        const rule = new ListRule(objections);
        const routing = routingWith(rule);
        const waiting = routing.process({ kind: TaskKind.Admitted, task: { ...task, needsPrimary: true } }, 0);
        assert.ok(waiting.every(({ kind }) => kind !== TaskKind.Ended && kind !== TaskKind.Placed));
        objections.clear();
        const messages = routing.process({ kind: TaskKind.PlacementDue, id: task.taskId }, 100);
        assert.equal((messages.find(({ kind }) => kind === TaskKind.Placed) as TaskPlaced).databaseId, "a");
    });
});
