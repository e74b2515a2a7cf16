import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type Command, CommandKind, ProposalStatus } from "../../model/controlMessages.ts";
import { ResourceKind } from "../../model/lease.ts";
import { EntryKind, ObjectList, RecordKind } from "../../model/replicatedLog.ts";
import { requireLogEntry, requireSnapshotRecord } from "../../model/replicatedLogSchema.ts";
import { RepeatPolicy } from "../../model/workClass.ts";
import { applyCommand } from "../applyCommand.ts";
import { type ControlState, emptyControlState, fromSnapshotRecords, toSnapshotRecords } from "../controlState.ts";

const doubleSha1Hex = "0123456789abcdef0123456789abcdef01234567";
const workspace = { name: "w", ratePerSecond: 0.5, burst: 1, keyValidityMs: 0 };
const workClass = { name: "c", maximumAgeMs: 0, waitingMs: 0, repeat: RepeatPolicy.Never, objectiveShare: 0.999 };
const group = { groupId: "g", service: "s", term: 0, primaryId: "d", memberIds: ["d"] };
const share = { workspace: "w", dataCentre: "z", ratePerSecond: 0, burst: 0 };
const lease = { resource: ResourceKind.Permits, resourceId: "w@z", instanceId: "i", instanceAddress: "h:1", epoch: 1 };
const head = { documentVersion: Number.MAX_SAFE_INTEGER, sections: [{ name: "", list: true }] };
const database = { databaseId: "\xe9 /", address: "", bornUnixMs: undefined, isLost: false };
const promotion = { service: "s", fence: 1, databaseId: "d" };

/** Applied in this order; together they use each kind of command and fill each list. */
const commands: readonly Command[] = [
    { kind: CommandKind.SetWorkClass, expectedVersion: 0, workClass },
    { kind: CommandKind.RemoveWorkClass, expectedVersion: 1, name: "c" },
    { kind: CommandKind.SetWorkClass, expectedVersion: 0, workClass },
    { kind: CommandKind.SetWorkspace, expectedVersion: 0, workspace },
    { kind: CommandKind.SetWorkspace, expectedVersion: 0, workspace: { ...workspace, name: "gone" } },
    { kind: CommandKind.RemoveWorkspace, expectedVersion: 1, name: "gone" },
    { kind: CommandKind.IssueKey, expectedVersion: 0, key: { id: "k", workspace: "w", doubleSha1Hex } },
    { kind: CommandKind.IssueKey, expectedVersion: 0, key: { id: "gone", workspace: "w", doubleSha1Hex } },
    { kind: CommandKind.WithdrawKey, expectedVersion: 1, id: "gone" },
    { kind: CommandKind.SetOpenRoute, expectedVersion: 0, openRoute: { service: "s", workspace: "w" } },
    { kind: CommandKind.SetOpenRoute, expectedVersion: 0, openRoute: { service: "gone", workspace: "w" } },
    { kind: CommandKind.RemoveOpenRoute, expectedVersion: 1, service: "gone" },
    { kind: CommandKind.SetGroup, expectedTerm: 0, group },
    { kind: CommandKind.AssignLeases, assignments: [lease] },
    { kind: CommandKind.SetRateShares, workspace: "w", workspaceVersion: 1, shares: [share] },
    {
        kind: CommandKind.PutDocument,
        head,
        baseVersion: 0,
        // Earlier releases stored entries without a section.
        upserts: [{ entryId: "", body: "5", place: 1.5 }, { entryId: "/a", section: "", body: "{}", place: -1 }],
        removals: [],
    },
    { kind: CommandKind.ReservePromotion, service: "s", expectedFence: 0 },
    { kind: CommandKind.RecordPromotionOrder, ...promotion },
    { kind: CommandKind.RecordDatabases, service: "s", databases: [database] },
    {
        kind: CommandKind.CompletePromotion,
        ...promotion,
        orderPending: true,
        departed: [],
        basePosition: { term: 1, offset: 0 },
    },
    { kind: CommandKind.ReservePromotion, service: "s", expectedFence: 1, keepsPrimary: true },
    {
        kind: CommandKind.RecordPromotionOrder,
        ...promotion,
        fence: 2,
        databaseId: "d2",
        position: { term: 1, offset: 2 },
    },
    { kind: CommandKind.RecordCommitWitnesses, added: ["i"], removed: ["x"] },
    { kind: CommandKind.BeginEvacuation, evacuation: { dataCentre: "z /\xe9", orderedBy: "o", orderedAtUnixMs: 1 } },
    { kind: CommandKind.EndEvacuation, dataCentre: "z /\xe9" },
    { kind: CommandKind.BeginEvacuation, evacuation: { dataCentre: "z", orderedBy: "o", orderedAtUnixMs: 2 } },
];

function stored(value: unknown): unknown {
    return JSON.parse(JSON.stringify(value));
}

describe("what commands produce", () => {
    it("can be read again from the log and from a snapshot, whatever the command and its outcome are", () => {
        // Guards against a member that refuses its own records, and so ends at each start.
        let state: ControlState = emptyControlState;
        let index = 0;
        const apply = (command: Command, operationId: string): ProposalStatus => {
            index += 1;
            requireLogEntry(stored({ index, term: 0, body: { kind: EntryKind.Command, operationId, command } }));
            const { state: next, result } = applyCommand(state, index, operationId, command);
            state = next;
            const records = toSnapshotRecords(state);
            const read = records.map(record => requireSnapshotRecord(stored(record)));
            const restored = fromSnapshotRecords(read, state.configuration.version);
            assert.deepEqual(stored(toSnapshotRecords(restored)), stored(records));
            return result.status;
        };
        commands.forEach((command, position) => {
            assert.equal(apply(command, `o${position}`), ProposalStatus.Applied, JSON.stringify(command));
        });
        const lists = toSnapshotRecords(state).flatMap(record =>
            record.kind === RecordKind.Object ? [record.object.list] : []
        );
        assert.deepEqual(new Set(lists), new Set(Object.values(ObjectList)));
        commands.forEach((command, position) => void apply(command, `repeated${position}`));
        apply({ kind: CommandKind.ReadBarrier }, "barrier");
        const kinds = [...commands.map(({ kind }) => kind), CommandKind.ReadBarrier];
        assert.deepEqual(new Set(kinds), new Set(Object.values(CommandKind)));
        // The state keeps them as they are, so a value that JSON cannot hold must be refused before it is stored.
        for (const amount of [Infinity, NaN, -1]) {
            const changed = { ...workspace, ratePerSecond: amount };
            const status = apply({ kind: CommandKind.SetWorkspace, expectedVersion: 1, workspace: changed }, "");
            assert.equal(status, ProposalStatus.Invalid);
        }
    });
});
