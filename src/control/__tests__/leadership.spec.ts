import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EntryKind, type LogEntry, type Member } from "../../model/replicatedLog.ts";
import { Leadership } from "../leadership.ts";
import { MemberLog } from "../memberLog.ts";

const members = ["a", "b", "c"].map(memberId => ({ memberId, incarnation: "1", address: `${memberId}:1` }));
const [self, b] = members as [Member, Member];

describe("the leadership of a member", () => {
    it("does not count a member as silent that receives a snapshot, after entries that it never got", () => {
        // Guards against a member that came back, and is removed while it catches up.
        const log = new MemberLog();
        log.restore(undefined, [{ index: 1, term: 0, body: { kind: EntryKind.Members, members } } as LogEntry]);
        const leadership = new Leadership({ self, term: 1, log, faultTolerance: 0, nowMs: 0 });
        log.append({ index: 2, term: 1, body: { kind: EntryKind.Members, members } } as LogEntry);
        leadership.replicationMessages(1, 0);
        log.compact({ lastIndex: 2, lastTerm: 1, members, version: 1, records: [] });
        leadership.recordSnapshotProgress(b, 2, false, 5_000);
        const silent = leadership.silentMembers(5_100).map(({ member }) => member.memberId);
        assert.deepEqual(silent, ["c"]);
    });
});
