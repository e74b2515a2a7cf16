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

class AdmitFixture {
    private readonly filter = new AdmitFilter({ instanceId: "a", dataCentre: "north", incarnation: "a.1" });

    constructor(homeInstanceId = "b") {
        const address = `${homeInstanceId}:1`;
        this.process(0, {
            kind: ClusterKind.ConfigurationApplied,
            configuration: {
                ...emptyConfiguration,
                leases: [{
                    resource: ResourceKind.Permits,
                    resourceId: "shop@north",
                    instanceId: homeInstanceId,
                    instanceAddress: address,
                    epoch: 1,
                }],
            },
        });
    }

    process(nowMs: number, message: Message & Record<string, unknown>): readonly Message[] {
        return this.filter.process(message as never, nowMs).filter(output =>
            output.kind !== DeadlineKind.Set && output.kind !== DeadlineKind.Clear
        );
    }

    sendStatement(nowMs: number, connectionId: number, fields: Record<string, unknown> = {}): readonly Message[] {
        return this.process(nowMs, {
            kind: AdmitKind.Classified,
            connectionId,
            sequence: 1,
            workspace: "shop",
            deadlineMs: nowMs + 1_000,
            statementKind: StatementKind.Read,
            inTransaction: false,
            ...fields,
        });
    }

    grantPermits(nowMs: number, permitRequest: Message | undefined, granted: number, fields = {}): readonly Message[] {
        const { requestId } = permitRequest as PermitForward;
        const body = { requestId, workspace: "shop", granted, retryAfterMs: 0, answered: true };
        return this.process(nowMs, { kind: PermitKind.Granted, ...body, ...fields });
    }

    passDeadline(nowMs: number, connectionId: number): RefusedStatement | undefined {
        const deadlinePassed = { kind: AdmitKind.DeadlinePassed, connectionId, sequence: 1 };
        return this.process(nowMs, deadlinePassed)[0] as RefusedStatement | undefined;
    }
}

describe("admission", () => {
    it("sends one permit request at a time, and passes all fields of the statement on once a permit is granted", () => {
        const fixture = new AdmitFixture();
        const [permitRequest, ...others] = fixture.sendStatement(0, 1, { text: "select 1" });
        assert.deepEqual(others, []);
        assert.equal(permitRequest?.kind, PermitKind.Forward);
        assert.equal((permitRequest as PermitForward).homeAddress, "b:1");
        assert.deepEqual(fixture.sendStatement(1, 2), [], "one permit request in flight per workspace");
        const [admitted, nextRequest] = fixture.grantPermits(2, permitRequest, 1);
        assert.equal(admitted?.kind, AdmitKind.Admitted);
        assert.equal((admitted as unknown as { text: string; }).text, "select 1");
        assert.equal((nextRequest as PermitForward).wanted, 1);
        assert.equal((nextRequest as PermitForward).settledRequestId, (permitRequest as PermitForward).requestId);
    });

    it("sends the request to this process when it is the permit home", () => {
        const [permitRequest] = new AdmitFixture("a").sendStatement(0, 1);
        assert.equal(permitRequest?.kind, PermitKind.Request);
    });

    it("uses no permit after its validity, counted from the request by a clock that may be slow", () => {
        const fixture = new AdmitFixture();
        const [permitRequest] = fixture.sendStatement(0, 1);
        assert.equal(fixture.grantPermits(5, permitRequest, 3).length, 1);
        assert.equal(fixture.sendStatement(179, 2)[0]?.kind, AdmitKind.Admitted);
        assert.equal(fixture.sendStatement(181, 3)[0]?.kind, PermitKind.Forward);
    });

    it("applies each answer once, and ignores answers to requests that timed out", () => {
        const fixture = new AdmitFixture();
        const [permitRequest] = fixture.sendStatement(0, 1);
        fixture.grantPermits(5, permitRequest, 1);
        const [secondRequest] = fixture.sendStatement(6, 2);
        assert.deepEqual(fixture.grantPermits(7, permitRequest, 1), []);
        const [thirdRequest] = fixture.process(206, { kind: AdmitKind.PermitRequestDue, workspace: "shop" });
        assert.equal(thirdRequest?.kind, PermitKind.Forward);
        assert.deepEqual(fixture.grantPermits(207, secondRequest, 1), []);
    });

    it("refuses for the rate only if the permit home reported a shortage, otherwise for the waiting time", () => {
        const rateLimited = new AdmitFixture();
        rateLimited.grantPermits(1, rateLimited.sendStatement(0, 1)[0], 0, { retryAfterMs: 40 });
        const refused = rateLimited.passDeadline(1_000, 1);
        assert.equal(refused?.refusal.code, RefusalCode.RateExceeded);
        assert.equal(refused?.refusal.retryAfterMs, 40);
        const unresponsive = new AdmitFixture();
        unresponsive.grantPermits(1, unresponsive.sendStatement(0, 1)[0], 0, { answered: false });
        assert.equal(unresponsive.passDeadline(1_000, 1)?.refusal.code, RefusalCode.WaitExceeded);
    });

    it("admits statements of open transactions first, and removes those of ended sessions", () => {
        const fixture = new AdmitFixture();
        const [permitRequest] = fixture.sendStatement(0, 1);
        fixture.sendStatement(1, 2);
        fixture.sendStatement(2, 3, { inTransaction: true, statementKind: StatementKind.Commit });
        fixture.process(3, { kind: AdmitKind.SessionEnded, connectionId: 1 });
        const admitted = fixture.grantPermits(4, permitRequest, 2).filter(output => output.kind === AdmitKind.Admitted);
        assert.deepEqual(admitted.map(output => (output as RefusedStatement).connectionId), [3, 2]);
    });
});
