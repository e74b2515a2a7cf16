import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FleetKind, type FrameReceived, type PolicyApplied } from "../../model/fleetMessages.ts";
import type { LinkReply } from "../../model/linkMessages.ts";
import {
    emptySessionContext,
    SessionStatementKind,
    StatementFault,
    TaskMode,
    TransactionState,
} from "../../model/sessionStatement.ts";
import { emptyTrafficPolicy } from "../../model/trafficPolicy.ts";
import { Routing } from "../routing.ts";
import { type LinkTask, type TaskAttempted, type TaskEnded, TaskKind } from "../taskMessages.ts";

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
        routing.process(policy({ ordered: new Map([["s", "a"]]) }), 0);
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
