import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ClusterKind } from "../../model/clusterMessages.ts";
import { CommandKind, ControlKind, type ControlLeaderChanged } from "../../model/controlMessages.ts";
import { FeedKind } from "../../model/feedMessages.ts";
import { LogKind, type LogSend, type PeerMessage, type VoteRequest } from "../../model/logMessages.ts";
import { EntryKind, type LogEntry, type Member } from "../../model/replicatedLog.ts";
import { type StorageAppend, StorageKind, type StorageRecovered } from "../../model/storageMessages.ts";
import { EventLoop } from "../../pipeline/eventLoop.ts";
import type { Message } from "../../pipeline/message.ts";
import { Pipe } from "../../pipeline/pipe.ts";
import { SeededRandom } from "../../pipeline/seededRandom.ts";
import type { Sink } from "../../pipeline/sink.ts";
import { VirtualClock } from "../../pipeline/virtualClock.ts";
import { controlFilters } from "../controlPipe.ts";
import { memberKey } from "../memberMessages.ts";

const members = ["a", "b", "c"].map(memberId => ({ memberId, incarnation: "1", address: `${memberId}:1` }));
const [a, b, c] = members as [Member, Member, Member];
const memberEntry: LogEntry = { index: 1, term: 0, body: { kind: EntryKind.Members, members } };
const change: LogEntry = {
    index: 2,
    term: 2,
    body: {
        kind: EntryKind.Command,
        operationId: "",
        command: {
            kind: CommandKind.SetWorkspace,
            expectedVersion: 0,
            workspace: { name: "w", ratePerSecond: 1, burst: 1, keyValidityMs: 1 },
        },
    },
};

/** Member "a" with a simulated disk and network. */
class SingleMember {
    readonly sent: PeerMessage[] = [];
    readonly outputs: Message[] = [];
    readonly clock = new VirtualClock();
    syncsWrites = true;
    private readonly loop: EventLoop;

    constructor(recovered: Partial<StorageRecovered>) {
        const filters = controlFilters({ self: a, initialMembers: members, random: new SeededRandom(1) });
        const kinds = [
            ClusterKind.ConfigurationApplied,
            ControlKind.LeaderChanged,
            ControlKind.ProposalEnded,
            FeedKind.Send,
        ];
        const sinks: Sink[] = [
            { accepts: kinds, deliver: message => this.outputs.push(message) },
            { accepts: [LogKind.Send], deliver: message => this.sent.push((message as LogSend).body) },
            { accepts: [StorageKind.Append], deliver: message => this.sync(message as StorageAppend) },
        ];
        this.loop = new EventLoop({ clock: this.clock, pipes: [new Pipe("control", filters)], sinks });
        const empty = { incarnation: "1", term: 0, votedFor: undefined, snapshot: undefined, entries: [] };
        this.post({ kind: StorageKind.Recovered, ...empty, ...recovered } as Message);
    }

    post(message: Message): void {
        this.loop.post(message);
        this.clock.advanceTo(this.clock.nowMs() + 1);
    }

    requestVote(parts: Partial<VoteRequest>): readonly boolean[] {
        const head = { kind: LogKind.VoteRequest, from: b, to: a, term: 5, callId: "x", preVote: false };
        this.post({ ...head, lastIndex: 9, lastTerm: 9, ...parts } as Message);
        return this.sent.flatMap(body => body.kind === LogKind.VoteAnswer ? [body.granted] : []);
    }

    /** Answers the requests of `kind` sent so far on behalf of member "b". */
    answerAsB(kind: string, parts: object): void {
        const requests = this.sent.filter(body => body.kind === kind && memberKey(body.to) === memberKey(b));
        const request = requests.at(-1);
        assert.ok(request !== undefined, `no ${kind} was sent`);
        const answerKind = kind.replace("_request", "_answer");
        const head = { kind: answerKind, from: b, to: a, callId: "", term: request.term, requestTerm: request.term };
        this.post({ ...head, preVote: "preVote" in request && request.preVote, ...parts } as Message);
    }

    private sync({ writeId }: StorageAppend): void {
        if (this.syncsWrites) {
            this.loop.post({ kind: StorageKind.AppendDone, writeId } as Message);
        }
    }
}

describe("control pipe of one member", () => {
    it("keeps its vote after a restart, so that a term cannot have two leaders", () => {
        const recovered = { term: 5, votedFor: memberKey(c), entries: [memberEntry] };
        assert.deepEqual(new SingleMember(recovered).requestVote({}), [false]);
        assert.deepEqual(new SingleMember(recovered).requestVote({ from: c }), [true]);
        assert.deepEqual(new SingleMember(recovered).requestVote({ term: 6 }), [true]);
    });

    it("sends no vote before the disk has synced it", () => {
        const member = new SingleMember({ term: 4, entries: [memberEntry] });
        member.syncsWrites = false;
        assert.deepEqual(member.requestVote({}), []);
        member.post({ kind: StorageKind.AppendDone, writeId: 1 } as Message);
        assert.deepEqual(member.requestVote({ preVote: true }), [], "the vote itself is write 2");
        member.post({ kind: StorageKind.AppendDone, writeId: 2 } as Message);
        assert.equal(member.requestVote({ preVote: true })[0], true);
    });

    it("ignores requests for the incarnation of a disk that was wiped", () => {
        const member = new SingleMember({ term: 0 });
        assert.deepEqual(member.requestVote({ to: { ...a, incarnation: "old" } }), []);
    });

    // Without this rule, an entry that a later leader can still replace would be reported as committed.
    it("commits an entry of an older term only together with one of its own term", () => {
        const member = new SingleMember({ term: 3, entries: [memberEntry, change] });
        member.clock.advanceTo(2_500);
        member.answerAsB(LogKind.VoteRequest, { granted: true, term: 3 });
        member.answerAsB(LogKind.VoteRequest, { granted: true });
        member.answerAsB(LogKind.AppendRequest, { accepted: true, index: 2 });
        const applied = () => member.outputs.filter(({ kind }) => kind === ClusterKind.ConfigurationApplied).length;
        assert.equal(applied(), 0);
        member.answerAsB(LogKind.AppendRequest, { accepted: true, index: 3 });
        assert.equal(applied(), 1);
    });

    it("neither asks for votes nor encourages a candidate while its disk takes no writes", () => {
        const member = new SingleMember({ term: 4, entries: [memberEntry] });
        const encourage = () => member.requestVote({ preVote: true }).at(-1);
        const asksForVotes = () => member.sent.some(({ kind }) => kind === LogKind.VoteRequest);
        member.post({ kind: StorageKind.Suspended, reason: "full" } as Message);
        member.clock.advanceTo(10_000);
        assert.ok(!asksForVotes());
        assert.equal(encourage(), false);
        member.post({ kind: StorageKind.Resumed });
        assert.equal(encourage(), true);
        member.clock.advanceTo(20_000);
        assert.ok(asksForVotes());
    });

    it("stands at once when its leader asks it to, and not for another member", () => {
        const member = new SingleMember({ term: 4, entries: [memberEntry] });
        const heartbeat = { previousIndex: 0, previousTerm: 0, entries: [], commitIndex: 0 };
        const head = { from: b, to: a, term: 5, callId: "x" };
        member.post({ kind: LogKind.AppendRequest, ...head, ...heartbeat } as Message);
        member.post({ kind: LogKind.StandRequest, ...head, from: c } as Message);
        assert.ok(!member.sent.some(({ kind }) => kind === LogKind.VoteRequest));
        member.post({ kind: LogKind.StandRequest, ...head } as Message);
        const votes = member.sent.flatMap(body => body.kind === LogKind.VoteRequest ? [body] : []);
        assert.deepEqual(votes.map(({ preVote, term }) => [preVote, term]), [[false, 6], [false, 6]]);
        const answers = member.sent.flatMap(body => body.kind === LogKind.StandAnswer ? [body.standing] : []);
        assert.deepEqual(answers, [false, true]);
    });

    it("knows no leader once it has heard none for as long as an election takes, and knows it again", () => {
        // Guards against a member that is cut off or was removed, and sends operators and databases to a leader of before.
        const member = new SingleMember({ term: 4, entries: [memberEntry] });
        const leaders = (): readonly unknown[] =>
            member.outputs.filter(({ kind }) => kind === ControlKind.LeaderChanged)
                .map(view => (view as ControlLeaderChanged).leaderId);
        hearLeader(member);
        assert.equal(leaders().at(-1), "b");
        member.clock.advanceTo(1_500);
        hearLeader(member);
        member.clock.advanceTo(3_400);
        assert.equal(leaders().at(-1), "b");
        member.clock.advanceTo(3_600);
        assert.equal(leaders().at(-1), undefined);
        hearLeader(member);
        assert.equal(leaders().at(-1), "b");
    });

    it("answers heartbeats while entries wait for its disk, and entries only once they are synced", () => {
        // Guards against a leader that steps down because the disks of the others are slow.
        const member = new SingleMember({ term: 5, entries: [memberEntry] });
        const answers = () => member.sent.flatMap(body => body.kind === LogKind.AppendAnswer ? [body.index] : []);
        hearLeader(member);
        member.syncsWrites = false;
        const batch = { previousIndex: 1, previousTerm: 0, entries: [{ ...change, term: 5 }], commitIndex: 0 };
        member.post({ kind: LogKind.AppendRequest, from: b, to: a, term: 5, callId: "x", ...batch } as Message);
        hearLeader(member);
        assert.deepEqual(answers(), [0, 0]);
        member.post({ kind: LogKind.AppendRequest, from: b, to: a, term: 5, callId: "x", ...batch } as Message);
        assert.deepEqual(answers(), [0, 0]);
        member.post({ kind: StorageKind.AppendDone, writeId: 1 } as Message);
        assert.deepEqual(answers(), [0, 0, 2, 2]);
    });

    it("answers no leader of a term that its disk has not synced", () => {
        const member = new SingleMember({ term: 4, entries: [memberEntry] });
        const answers = () => member.sent.filter(({ kind }) => kind === LogKind.AppendAnswer).length;
        member.syncsWrites = false;
        hearLeader(member);
        assert.equal(answers(), 0);
        member.post({ kind: StorageKind.AppendDone, writeId: 1 } as Message);
        assert.equal(answers(), 1);
    });

    it("asks nobody again for votes before its disk has synced its own, and counts votes that come late", () => {
        const member = new SingleMember({ term: 4, entries: [memberEntry] });
        const asked = () => member.sent.filter(({ kind }) => kind === LogKind.VoteRequest).length;
        member.clock.advanceTo(2_500);
        member.syncsWrites = false;
        member.answerAsB(LogKind.VoteRequest, { granted: true, term: 4 });
        const before = asked();
        member.clock.advanceTo(20_000);
        assert.equal(asked(), before);
        member.post({ kind: StorageKind.AppendDone, writeId: 1 } as Message);
        const request = member.sent.findLast(({ kind, to }) =>
            kind === LogKind.VoteRequest && memberKey(to) === "b/1"
        )!;
        member.clock.advanceTo(25_000);
        const vote = { granted: true, preVote: false, requestTerm: request.term, term: request.term, callId: "" };
        member.post({ kind: LogKind.VoteAnswer, from: b, to: a, ...vote } as Message);
        assert.ok(member.sent.some(({ kind, term }) => kind === LogKind.AppendRequest && term === request.term));
    });

    it("stands again after its disk stood still for so long that answers were dropped", () => {
        // Guards against a member that waits for its own vote for ever, and never stands again in that term.
        const member = new SingleMember({ term: 4, entries: [memberEntry] });
        const asked = () => member.sent.filter(({ kind }) => kind === LogKind.VoteRequest).length;
        member.clock.advanceTo(2_500);
        member.syncsWrites = false;
        member.answerAsB(LogKind.VoteRequest, { granted: true, term: 4 });
        for (let count = 0; count < 1_100; count++) {
            member.requestVote({ preVote: true, lastIndex: 0, lastTerm: 0 });
        }
        member.post({ kind: StorageKind.AppendDone, writeId: 1 } as Message);
        const before = asked();
        member.clock.advanceTo(member.clock.nowMs() + 10_000);
        assert.ok(asked() > before);
    });

    it("looks for its cluster while it hears nothing but the vote requests of other removed members", () => {
        // Guards against removed members that keep each other busy and never ask the present ones to join.
        const member = new SingleMember({ term: 4, entries: [memberEntry] });
        for (let second = 1; second <= 6; second++) {
            member.clock.advanceTo(second * 1_000);
            member.requestVote({ preVote: true, lastIndex: 0, lastTerm: 0 });
        }
        assert.ok(member.sent.some(({ kind }) => kind === LogKind.JoinRequest));
    });
});

function hearLeader(member: SingleMember): void {
    const heartbeat = { previousIndex: 0, previousTerm: 0, entries: [], commitIndex: 0 };
    member.post({ kind: LogKind.AppendRequest, from: b, to: a, term: 5, callId: "x", ...heartbeat } as Message);
}
