import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LogKind } from "../../model/logMessages.ts";
import { EntryKind, type LogEntry, type Member } from "../../model/replicatedLog.ts";
import { Leadership } from "../leadership.ts";
import { MemberLog } from "../memberLog.ts";

const members = ["a", "b", "c"].map(memberId => ({ memberId, incarnation: "1", address: `${memberId}:1` }));
const [self, b, c] = members as [Member, Member, Member];

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

    it("chooses no successor that took long for its last sync, whatever it has to sync now", () => {
        // Guards against an election in each stall of a disk that all members share.
        const log = new MemberLog();
        log.restore(undefined, [{ index: 1, term: 0, body: { kind: EntryKind.Members, members } } as LogEntry]);
        const leadership = new Leadership({ self, term: 1, log, faultTolerance: 0, nowMs: 0 });
        const acknowledge = (index: number, from: Member, nowMs: number): void =>
            leadership.recordAppendAnswer(
                {
                    kind: LogKind.AppendAnswer,
                    from,
                    to: self,
                    term: 1,
                    callId: "",
                    accepted: true,
                    index,
                    knowsEvacuations: true,
                },
                nowMs,
            );
        log.append({ index: 2, term: 1, body: { kind: EntryKind.NoOp } });
        leadership.replicationMessages(1, 0);
        acknowledge(2, b, 400);
        acknowledge(2, c, 500);
        assert.equal(leadership.chooseSuccessor(600, 250), undefined);
        log.append({ index: 3, term: 1, body: { kind: EntryKind.NoOp } });
        leadership.replicationMessages(2, 600);
        assert.equal(leadership.chooseSuccessor(650, 250), undefined);
        acknowledge(3, c, 700);
        assert.equal(leadership.chooseSuccessor(700, 250), c);
    });
});
