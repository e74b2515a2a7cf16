import { assert as check, property, uint8Array } from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { StatementKind } from "../../model/statement.ts";
import { StatementRequest, WorkRequest } from "../generated/holder.ts";
import { decodeStatement, encodeStatement } from "../holderCodec.ts";

const statement = {
    requestId: "r",
    sessionId: "s",
    databaseId: "d",
    callerId: "k",
    workspace: "w",
    workClass: "default",
    statementKind: StatementKind.Read,
    text: "SELECT 1",
    floor: undefined,
    idempotencyId: undefined,
    repeatable: true,
    pinned: false,
};

describe("requests to a holder", () => {
    it("have an end of their waiting time, so that none waits for as long as its stream is open", () => {
        for (const [deadlineMs, expectedMs] of [[Infinity, 5], [NaN, 5], [25, 25]] as const) {
            const { statement: body } = encodeStatement({ ...statement, deadlineMs }, 5);
            const received = StatementRequest.decode(StatementRequest.encode(body!).finish());
            assert.equal(decodeStatement("r", received, 5).deadlineMs, expectedMs);
        }
    });

    it("are refused by the decoder or have a finite deadline, whatever bytes arrive", () => {
        check(
            property(uint8Array({ maxLength: 200 }), bytes => {
                let request: WorkRequest;
                try {
                    request = WorkRequest.decode(bytes);
                }
                catch {
                    return;
                }
                if (request.statement !== undefined) {
                    assert.ok(Number.isFinite(decodeStatement(request.requestId, request.statement, 0).deadlineMs));
                }
            }),
            { seed: 20261207, numRuns: 20_000 },
        );
    });
});
