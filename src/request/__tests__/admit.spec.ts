import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ClusterKind } from "../../model/clusterMessages.ts";
import { emptyConfiguration } from "../../model/configuration.ts";
import { ResourceKind } from "../../model/lease.ts";
import { type PermitForward, PermitKind } from "../../model/permitMessages.ts";
import { RefusalCode } from "../../model/refusal.ts";
import { StatementKind } from "../../model/statement.ts";
import { DeadlineKind } from "../../pipeline/deadlineQueue.ts";
import type { Message } from "../../pipeline/message.ts";
import { AdmitFilter, AdmitKind, type RefusedStatement } from "../admit.ts";

class Entry {
    private readonly filter = new AdmitFilter({ instanceId: "a", dataCentre: "north", incarnation: "a.1" });

    constructor(homeId = "b") {
        const address = `${homeId}:1`;
        this.push(0, {
            kind: ClusterKind.ConfigurationApplied,
            configuration: {
                ...emptyConfiguration,
                leases: [{
                    resource: ResourceKind.Permits,
                    resourceId: "shop@north",
                    instanceId: homeId,
                    instanceAddress: address,
                    epoch: 1,
                }],
            },
        });
    }

    push(nowMs: number, message: Message & Record<string, unknown>): readonly Message[] {
        return this.filter.process(message as never, nowMs).filter(output =>
            output.kind !== DeadlineKind.Set && output.kind !== DeadlineKind.Clear
        );
    }

    send(nowMs: number, connectionId: number, parts: Record<string, unknown> = {}): readonly Message[] {
        return this.push(nowMs, {
            kind: AdmitKind.Classified,
            connectionId,
            sequence: 1,
            workspace: "shop",
            deadlineMs: nowMs + 1_000,
            statementKind: StatementKind.Read,
            inTransaction: false,
            ...parts,
        });
    }

    grant(nowMs: number, question: Message | undefined, granted: number, parts = {}): readonly Message[] {
        const { requestId } = question as PermitForward;
        const body = { requestId, workspace: "shop", granted, retryAfterMs: 0, answered: true };
        return this.push(nowMs, { kind: PermitKind.Granted, ...body, ...parts });
    }

    passDeadline(nowMs: number, connectionId: number): RefusedStatement | undefined {
        const passed = { kind: AdmitKind.DeadlinePassed, connectionId, sequence: 1 };
        return this.push(nowMs, passed)[0] as RefusedStatement | undefined;
    }
}

describe("admission", () => {
    it("asks the home once, and passes every field of the statement on when the permit comes", () => {
        const entry = new Entry();
        const [question, ...more] = entry.send(0, 1, { text: "select 1" });
        assert.deepEqual(more, []);
        assert.equal(question?.kind, PermitKind.Forward);
        assert.equal((question as PermitForward).homeAddress, "b:1");
        assert.deepEqual(entry.send(1, 2), [], "one question in flight per workspace");
        const [admitted, next] = entry.grant(2, question, 1);
        assert.equal(admitted?.kind, AdmitKind.Admitted);
        assert.equal((admitted as unknown as { text: string; }).text, "select 1");
        assert.equal((next as PermitForward).wanted, 1);
        assert.equal((next as PermitForward).settledRequestId, (question as PermitForward).requestId);
    });

    it("asks in this process when the home is here", () => {
        const [question] = new Entry("a").send(0, 1);
        assert.equal(question?.kind, PermitKind.Request);
    });

    it("uses no permit after its validity, counted from the question by a clock that may be slow", () => {
        const entry = new Entry();
        const [question] = entry.send(0, 1);
        assert.equal(entry.grant(5, question, 3).length, 1);
        assert.equal(entry.send(179, 2)[0]?.kind, AdmitKind.Admitted);
        assert.equal(entry.send(181, 3)[0]?.kind, PermitKind.Forward);
    });

    it("uses each answer once, and none to a question that it has given up", () => {
        const entry = new Entry();
        const [question] = entry.send(0, 1);
        entry.grant(5, question, 1);
        const [second] = entry.send(6, 2);
        assert.deepEqual(entry.grant(7, question, 1), []);
        const [third] = entry.push(206, { kind: AdmitKind.PermitRequestDue, workspace: "shop" });
        assert.equal(third?.kind, PermitKind.Forward);
        assert.deepEqual(entry.grant(207, second, 1), []);
    });

    it("refuses by rate only when the home said so, and otherwise says that the wait ended", () => {
        const short = new Entry();
        short.grant(1, short.send(0, 1)[0], 0, { retryAfterMs: 40 });
        const refused = short.passDeadline(1_000, 1);
        assert.equal(refused?.refusal.code, RefusalCode.RateExceeded);
        assert.equal(refused?.refusal.retryAfterMs, 40);
        const silent = new Entry();
        silent.grant(1, silent.send(0, 1)[0], 0, { answered: false });
        assert.equal(silent.passDeadline(1_000, 1)?.refusal.code, RefusalCode.WaitExceeded);
    });

    it("lets statements of open transactions go first, and forgets those of ended sessions", () => {
        const entry = new Entry();
        const [question] = entry.send(0, 1);
        entry.send(1, 2);
        entry.send(2, 3, { inTransaction: true, statementKind: StatementKind.Commit });
        entry.push(3, { kind: AdmitKind.SessionEnded, connectionId: 1 });
        const admitted = entry.grant(4, question, 2).filter(output => output.kind === AdmitKind.Admitted);
        assert.deepEqual(admitted.map(output => (output as RefusedStatement).connectionId), [3, 2]);
    });
});
