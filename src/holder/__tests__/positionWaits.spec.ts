import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ClusterKind } from "../../model/clusterMessages.ts";
import { DatabaseRole } from "../../model/database.ts";
import { HolderKind } from "../../model/holderMessages.ts";
import { HolderPipeKind } from "../../model/holderPipeMessages.ts";
import { ResourceKind } from "../../model/lease.ts";
import { OutcomeKind } from "../../model/outcome.ts";
import { StatementKind } from "../../model/statement.ts";
import { DeadlineKind, type SetDeadline } from "../../pipeline/deadlineQueue.ts";
import type { Filter } from "../../pipeline/filter.ts";
import type { Message } from "../../pipeline/message.ts";
import { ConfirmFilter } from "../confirm.ts";
import { FloorsFilter } from "../floors.ts";
import { FreshnessFilter } from "../freshness.ts";
import { defaultHolderSettings } from "../holderSettings.ts";

const databaseId = "d 1";
const request = {
    kind: HolderKind.Request,
    origin: "stream:1",
    requestId: "a/b c",
    sessionId: "s",
    databaseId,
    callerId: "k",
    workspace: "w",
    workClass: "default",
    statementKind: StatementKind.Read,
    text: "SELECT 1",
    floor: { term: 1, offset: 9 },
    deadlineMs: 1_000,
    repeatable: true,
    pinned: false,
};
const lease = { resource: ResourceKind.Database, resourceId: databaseId, epoch: 1 };
const view = { databaseId, groupId: "g", role: DatabaseRole.Primary, groupSize: 3, available: true };
const holding = [
    { kind: ClusterKind.DatabasesChanged, databases: [view] },
    { kind: ClusterKind.LeasesRenewed, leases: [lease], validUntilMs: 1e6, permitsUntilMs: 1e6 },
];
const settings = { settings: defaultHolderSettings };

const waits: readonly (readonly [string, Filter, Message, string])[] = [
    ["a read for its floor", new FreshnessFilter(settings), request, HolderKind.Reply],
    [
        "a question for a floor",
        new FloorsFilter(settings),
        { ...request, kind: HolderKind.FloorRequest, callerIds: ["k"] } as Message,
        HolderKind.FloorReply,
    ],
    [
        "a write for a majority",
        new ConfirmFilter(settings),
        {
            kind: HolderPipeKind.Executed,
            request: { ...request, statementKind: StatementKind.Write },
            outcome: { kind: OutcomeKind.Done, affectedRows: 1, insertId: 0 },
            written: { term: 1, offset: 10 },
        } as Message,
        HolderKind.Reply,
    ],
];

describe("waiting requests", () => {
    for (const [name, filter, waiting, answerKind] of waits) {
        it(`end in time also if the name of the database holds a blank: ${name}`, () => {
            holding.forEach(message => filter.process(message as Message, 0));
            const outputs = filter.process(waiting, 1);
            const timer = outputs.find(output => output.kind === DeadlineKind.Set) as SetDeadline | undefined;
            assert.ok(timer !== undefined, "the request does not wait");
            assert.ok(filter.process(timer.message, timer.atMs).some(({ kind }) => kind === answerKind));
        });
    }
});
