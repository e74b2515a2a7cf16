import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
    type DatabaseChanged,
    FleetKind,
    type FrameReceived,
    type PolicyApplied,
    ReportedState,
} from "../../model/fleetMessages.ts";
import type { LinkReply } from "../../model/linkMessages.ts";
import {
    emptySessionContext,
    SessionStatementKind,
    StatementFault,
    TaskMode,
    TransactionState,
} from "../../model/sessionStatement.ts";
import { emptyTrafficPolicy, RouteConsistency } from "../../model/trafficPolicy.ts";
import { Routing } from "../routing.ts";
import {
    type LinkTask,
    type Task,
    type TaskAttempted,
    type TaskEnded,
    TaskKind,
    type TaskPlaced,
} from "../taskMessages.ts";

describe("results of commits while the primary is replaced", () => {
    it("are in doubt if they come from another database than the ordered one", () => {
        // Guards against an acknowledgement by the replaced primary of a commit that the new one lacks.
        const routing = new Routing({ dataCentre: "d" });
        assert.equal(resultOf(routing, "p", commit), undefined);
        routing.process(question(4), 0);
        assert.equal(resultOf(routing, "p", commit), StatementFault.InDoubt);
        assert.equal(
            resultOf(routing, "p", { ...commit, mode: TaskMode.Single, statement: write }),
            StatementFault.InDoubt,
        );
        assert.equal(resultOf(routing, "p", { ...commit, mode: TaskMode.ReadTransaction }), undefined);
        assert.equal(resultOf(routing, "p", { ...commit, statement: write }), undefined);
        routing.process(policy({ ordered: new Map([["s", "a"]]), orderedFences: new Map([["s", 4]]) }), 0);
        assert.equal(resultOf(routing, "p", commit), StatementFault.InDoubt);
        assert.equal(resultOf(routing, "a", commit), undefined);
        routing.process(policy({ completedFences: new Map([["s", 4]]) }), 0);
        assert.equal(resultOf(routing, "a", commit), undefined);
    });

    it("are passed on if a leader of an earlier version asks", () => {
        const routing = new Routing({ dataCentre: "d" });
        routing.process(question(undefined), 0);
        assert.equal(resultOf(routing, "p", commit), undefined);
    });

    it("are promises that nothing was kept if they were not sent", () => {
        // Guards against "in doubt" for every commit and write that found no link while a primary is replaced.
        const routing = new Routing({ dataCentre: "d" });
        routing.process(question(4), 0);
        assert.equal(unsentResultOf(routing, "", commit, StatementFault.Aborted), StatementFault.Aborted);
        const single = { ...commit, mode: TaskMode.Single, statement: write };
        assert.equal(unsentResultOf(routing, "p", single, StatementFault.Busy), StatementFault.Busy);
    });
});

describe("commits of an instance whose lease on acknowledgements has ended", () => {
    const synchronous = policy({
        policy: {
            ...emptyTrafficPolicy,
            services: new Map([
                ["s", { name: "s", connectionLimit: 4, synchronousReplicas: 1 }],
                ["u", { name: "u", connectionLimit: 4, synchronousReplicas: 0 }],
            ]),
        },
    });

    function withLease(untilMs: number): Routing {
        const routing = new Routing({ dataCentre: "d" });
        routing.process(synchronous, 0);
        routing.process({ kind: FleetKind.LeaseChanged, untilMs }, 0);
        return routing;
    }

    it("are in doubt if they were sent before, unless the service acknowledges without a replica", () => {
        // Guards against acknowledgements that the control leader no longer waits for.
        assert.equal(resultOf(withLease(1), "p", commit), undefined);
        assert.equal(resultOf(withLease(0), "p", commit), StatementFault.InDoubt);
        assert.equal(resultOf(withLease(0), "p", { ...commit, statement: write }), undefined);
        assert.equal(resultOf(withLease(0), "p", { ...commit, service: "u" }), undefined);
        assert.equal(resultOf(withLease(Infinity), "p", commit), undefined);
    });

    it("are in doubt under a policy that no leader has confirmed", () => {
        // Guards against acknowledgements by a process that has started beside a cut, for which no choice waits.
        const routing = new Routing({ dataCentre: "d" });
        routing.process({ ...synchronous, confirmed: false }, 0);
        assert.equal(resultOf(routing, "p", commit), StatementFault.InDoubt);
        assert.equal(resultOf(routing, "p", { ...commit, service: "u" }), undefined);
        routing.process({ ...synchronous, confirmed: true }, 0);
        assert.equal(resultOf(routing, "p", commit), undefined);
    });

    it("are not sent, and run once there is a lease again", () => {
        const routing = withLease(0);
        routing.process(databaseReport("p", true), 0);
        const kindsOf = (nowMs: number, message: Parameters<Routing["process"]>[0]): readonly string[] =>
            routing.process(message, nowMs).map(({ kind }) => kind).filter(kind =>
                kind === TaskKind.Placed || kind === TaskKind.Ended
            );
        assert.deepEqual(kindsOf(0, { kind: TaskKind.Admitted, task: routedCommit }), []);
        routing.process({ kind: FleetKind.LeaseChanged, untilMs: 500 }, 40);
        assert.deepEqual(kindsOf(40, { kind: TaskKind.PlacementDue, id: "t" }), [TaskKind.Placed]);
    });

    it("are refused as not run when their latency objective cannot be met", () => {
        const routing = withLease(0);
        routing.process(databaseReport("p", true), 0);
        routing.process({ kind: TaskKind.Admitted, task: routedCommit }, 0);
        const ended = routing.process({ kind: TaskKind.PlacementDue, id: "t" }, 480)
            .find(({ kind }) => kind === TaskKind.Ended) as TaskEnded;
        assert.equal(ended.fault, StatementFault.Busy);
        assert.match(ended.detail, /no control leader .* not run, retry after/);
    });
});

describe("a read that waits for a position", () => {
    function probesAfter(fault: StatementFault | undefined): readonly number[] {
        const routing = new Routing({ dataCentre: "d" });
        routing.process(databaseReport("p", true), 0);
        const task: Task = {
            ...commit,
            mode: TaskMode.Single,
            statement: undefined,
            writes: false,
            needsPrimary: false,
            route,
            sessionFloor: undefined,
            receivedMs: 0,
        };
        const [wanted] = routing.process({ kind: TaskKind.Admitted, task }, 0);
        assert.equal(wanted!.kind, TaskKind.FloorWanted);
        const probe = {
            kind: TaskKind.FloorProbeWanted,
            service: "s",
            workspace: "w",
            maximumProofAgeMs: 400,
        } as const;
        const [placed] = routing.process(probe, 0) as readonly TaskPlaced[];
        const reply: LinkReply = {
            rows: [],
            signature: undefined,
            fault,
            detail: "",
            transaction: TransactionState.None,
            position: undefined,
            status: undefined,
        };
        const attempted: TaskAttempted = {
            kind: TaskKind.Attempted,
            task: placed!.task,
            databaseId: "p",
            address: undefined,
            reply,
            fault: undefined,
            sent: false,
            holderUnavailable: false,
            sentMs: 0,
            leads: false,
            pinned: false,
        };
        const second = { kind: TaskKind.Admitted, task: { ...task, taskId: "t2", receivedMs: 120 } } as const;
        return ([[1, attempted], [40, { kind: TaskKind.PlacementDue, id: "t" }], [120, second]] as const)
            .filter(([atMs, message]) =>
                routing.process(message, atMs).some(({ kind }) => kind === TaskKind.FloorWanted)
            )
            .map(([atMs]) => atMs);
    }

    it("asks a primary that has too much to do only after a pause", () => {
        // Guards against a probe for each refusal of the last one, as fast as the database can refuse.
        assert.deepEqual(probesAfter(StatementFault.Busy), [120]);
        assert.deepEqual(probesAfter(StatementFault.ReadOnly), [1]);
    });
});

describe("reads of callers that leave", () => {
    it("do not count as work of their database for ever", () => {
        // Guards against a database that gets fewer reads with each caller that does not wait for its answer.
        const routing = new Routing({ dataCentre: "d" });
        ["p", "r1", "r2"].forEach(databaseId => routing.process(databaseReport(databaseId, databaseId === "p"), 0));
        const sample = { position: { term: 1, offset: 1 }, atMs: 0 };
        routing.process({ kind: TaskKind.FloorLearned, service: "s", sample }, 0);
        const databaseIds = Array.from({ length: 20 }, (_, index) => {
            const task: Task = {
                ...commit,
                taskId: `t${index}`,
                mode: TaskMode.Single,
                statement: undefined,
                writes: false,
                needsPrimary: false,
                route,
                sessionFloor: undefined,
                receivedMs: 0,
            };
            const placed = routing.process({ kind: TaskKind.Admitted, task }, 0)
                .find(({ kind }) => kind === TaskKind.Placed) as TaskPlaced;
            routing.process({ kind: TaskKind.Abandoned, sessionId: "c", taskId: task.taskId }, 0);
            return placed.databaseId;
        });
        assert.equal(new Set(databaseIds).size, 1, databaseIds.join());
    });
});

describe("a statement that its database cannot start in time", () => {
    const refusal = { reply: undefined, fault: StatementFault.Busy, sent: false };

    /**
     * Replicas and primary of a service; the attempts are refused by their databases.
     * @param parts `atMs` is the time of the first attempt
     */
    function refuseAttempts(
        parts: { readonly needsPrimary: boolean; readonly knowsPosition?: boolean; readonly atMs?: number; },
        retryAfterMs = 420,
    ): readonly (TaskPlaced | TaskEnded | undefined)[] {
        const { needsPrimary, knowsPosition = true, atMs = 0 } = parts;
        const routing = new Routing({ dataCentre: "d" });
        ["p", "r1"].forEach(databaseId => routing.process(databaseReport(databaseId, databaseId === "p"), 0));
        if (knowsPosition) {
            const sample = { position: { term: 1, offset: 1 }, atMs: 0 };
            routing.process({ kind: TaskKind.FloorLearned, service: "s", sample }, 0);
        }
        const task: Task = {
            ...commit,
            needsPrimary,
            mode: TaskMode.Single,
            statement: needsPrimary ? write : undefined,
            writes: needsPrimary,
            route,
            sessionFloor: undefined,
            receivedMs: 0,
        };
        const results: (TaskPlaced | TaskEnded | undefined)[] = [];
        let messages = routing.process({ kind: TaskKind.Admitted, task }, 0);
        if (atMs > 0) {
            messages = routing.process({ kind: TaskKind.PlacementDue, id: task.taskId }, atMs);
        }
        // More than an attempt at each of the two databases and the end, so that placements without end are seen.
        while (results.length < 4) {
            const next = messages.find(({ kind }) => kind === TaskKind.Placed || kind === TaskKind.Ended);
            results.push(next as TaskPlaced | TaskEnded | undefined);
            if (next?.kind !== TaskKind.Placed) {
                break;
            }
            const { databaseId } = next as TaskPlaced;
            const attempted = {
                kind: TaskKind.Attempted,
                task: (next as TaskPlaced).task,
                databaseId,
                address: undefined,
                holderUnavailable: false,
                sentMs: undefined,
                leads: false,
                pinned: false,
                ...refusal,
                retryAfterMs,
            } as TaskAttempted;
            messages = routing.process(attempted, atMs);
        }
        return results;
    }

    it("is refused at once with the time to come back if only the primary may run it", () => {
        const [placed, ended] = refuseAttempts({ needsPrimary: true });
        assert.equal((placed as TaskPlaced).databaseId, "p");
        assert.equal((ended as TaskEnded).fault, StatementFault.Busy);
        assert.match((ended as TaskEnded).detail, /not run, retry after 420 ms/);
    });

    it("is not told a time beyond the limits of the statements that wait, whatever another instance reports", () => {
        const ended = refuseAttempts({ needsPrimary: true }, 4_294_967_295).at(-1) as TaskEnded;
        assert.match(ended.detail, /retry after 2000 ms/);
    });

    it("goes to each database that may run it once before it is refused", () => {
        const results = refuseAttempts({ needsPrimary: false });
        const databaseIds = results.slice(0, -1).map(placed => (placed as TaskPlaced).databaseId);
        assert.deepEqual([...databaseIds].sort(), ["p", "r1"]);
        assert.match((results.at(-1) as TaskEnded).detail, /not run, retry after 420 ms/);
    });

    it("is refused if it reads at the primary for want of a position, although a replica has not refused it", () => {
        // Guards against a placement at the primary again and again within one message, which never ends.
        const [placed, ended, ...others] = refuseAttempts({ needsPrimary: false, knowsPosition: false, atMs: 100 });
        assert.deepEqual([placed?.kind, (placed as TaskPlaced).databaseId], [TaskKind.Placed, "p"]);
        assert.equal(ended?.kind, TaskKind.Ended);
        assert.match((ended as TaskEnded).detail, /not run, retry after 420 ms/);
        assert.deepEqual(others, []);
    });
});

function databaseReport(databaseId: string, leads: boolean): DatabaseChanged {
    const report = {
        databaseId,
        service: "s",
        address: `${databaseId}:1`,
        dataCentre: "d",
        slots: 4,
        state: ReportedState.Ready,
        leads,
        sequence: 1,
        bornUnixMs: 1,
    };
    return { kind: FleetKind.DatabaseChanged, report };
}

const write = { kind: SessionStatementKind.Write, text: "WRITE 1 x" } as unknown as LinkTask["statement"];

const commit: LinkTask = {
    taskId: "t",
    sessionId: "c",
    service: "s",
    workspace: "w",
    mode: TaskMode.Transaction,
    statement: { kind: SessionStatementKind.Commit, text: "COMMIT" } as unknown as LinkTask["statement"],
    writes: true,
    needsPrimary: true,
    context: emptySessionContext,
    deadlineMs: 1_000,
};

const route = {
    name: "r",
    database: "r",
    service: "s",
    consistency: RouteConsistency.Bounded,
    maximumAgeMs: 1_000,
    statementLimitMs: 1_000,
    targetLatencyMs: 500,
    priority: 1,
    open: false,
};

const routedCommit: Task = { ...commit, route, sessionFloor: undefined, receivedMs: 0 };

function resultOf(routing: Routing, databaseId: string, task: LinkTask): StatementFault | undefined {
    const reply: LinkReply = {
        rows: [],
        signature: "x",
        fault: undefined,
        detail: "",
        transaction: TransactionState.None,
        position: { term: 1, offset: 2 },
        status: undefined,
    };
    const attempted: TaskAttempted = {
        kind: TaskKind.Attempted,
        task,
        databaseId,
        address: undefined,
        reply,
        fault: undefined,
        sent: true,
        holderUnavailable: false,
        sentMs: 0,
        leads: false,
        pinned: false,
    };
    return (routing.process(attempted, 0).find(({ kind }) => kind === TaskKind.Ended) as TaskEnded).fault;
}

function unsentResultOf(
    routing: Routing,
    databaseId: string,
    task: LinkTask,
    fault: StatementFault,
): StatementFault | undefined {
    const attempted: TaskAttempted = {
        kind: TaskKind.Attempted,
        task,
        databaseId,
        address: undefined,
        reply: undefined,
        fault,
        sent: false,
        holderUnavailable: false,
        sentMs: undefined,
        leads: false,
        pinned: false,
    };
    return (routing.process(attempted, 0).find(({ kind }) => kind === TaskKind.Ended) as TaskEnded).fault;
}

function question(fence: number | undefined): FrameReceived {
    const frame = { kind: "commits_asked" as const, questionId: "4/close", service: "s", fence };
    return { kind: FleetKind.FrameReceived, attachmentId: "f", frame };
}

function policy(overrides: Partial<PolicyApplied>): PolicyApplied {
    return {
        kind: FleetKind.PolicyApplied,
        policy: emptyTrafficPolicy,
        confirmed: true,
        promoted: new Map(),
        ordered: new Map(),
        completedFences: new Map(),
        ...overrides,
    };
}
