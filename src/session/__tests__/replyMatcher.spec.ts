import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { type LinkCommand, LinkCommandKind, type LinkReply } from "../../model/linkMessages.ts";
import { SessionStatementKind, StatementFault, TransactionState } from "../../model/sessionStatement.ts";
import { type ReplyMatch, ReplyMatcher, ReplyRole, ReplyVerdict } from "../replyMatcher.ts";
import { position, statement } from "./sessionFixture.ts";

const begin: LinkCommand = { kind: LinkCommandKind.Begin };
const rollback: LinkCommand = { kind: LinkCommandKind.Rollback };
const setValue: LinkCommand = { kind: LinkCommandKind.SetValue, name: "x", value: "1" };
const write: LinkCommand = {
    kind: LinkCommandKind.Run,
    statement: statement(SessionStatementKind.Write, "w"),
    floor: undefined,
};

function reply(offset: number, parts: Partial<LinkReply> = {}): LinkReply {
    return {
        rows: [],
        signature: undefined,
        fault: undefined,
        detail: "",
        transaction: TransactionState.None,
        position: position(1, offset),
        status: undefined,
        ...parts,
    };
}

const opened = { transaction: TransactionState.Open };

function matcherOf(...commands: readonly LinkCommand[]): ReplyMatcher {
    const matcher = new ReplyMatcher();
    commands.forEach(command => matcher.expect(ReplyRole.Statement, command));
    return matcher;
}

function verdicts(matcher: ReplyMatcher, ...replies: readonly LinkReply[]): readonly ReplyMatch["verdict"][] {
    return replies.map(received => matcher.match(received).verdict);
}

describe("replies of a database", () => {
    it("with a signature that the link has seen are no answer to the next statement", () => {
        const matcher = matcherOf(write, write);
        const [first, second] = ["a", "b"].map(signature => reply(1, { signature })) as [LinkReply, LinkReply];
        assert.deepEqual(verdicts(matcher, first, first, second, first), [
            ReplyVerdict.Proved,
            ReplyVerdict.Repeated,
            ReplyVerdict.Proved,
            ReplyVerdict.Repeated,
        ]);
    });

    it("do not stay in memory because a link remembers their signatures", () => {
        setFlagsFromString("--expose-gc");
        const collectGarbage = runInNewContext("gc") as () => void;
        const matcher = matcherOf(...Array.from({ length: 200 }, () => write));
        collectGarbage();
        const beforeBytes = process.memoryUsage().heapUsed;
        for (let index = 0; index < 200; index++) {
            const received = Buffer.from(`${"x".repeat(65_536)}signature-of-${index + 1_000_000}`).toString("latin1");
            assert.deepEqual(verdicts(matcher, reply(index, { signature: received.slice(65_536) })), [
                ReplyVerdict.Proved,
            ]);
        }
        collectGarbage();
        const growthBytes = process.memoryUsage().heapUsed - beforeBytes;
        assert.ok(
            growthBytes < 1_048_576,
            `${growthBytes} bytes for 200 signatures; ${matcher.expectedCount} expected`,
        );
    });

    it("are told apart by rows that hold line feeds", () => {
        // Guards against an answer that is taken for the repeat of another one.
        const matcher = matcherOf(begin, begin);
        const [first, second] = [["a\nb"], ["a", "b"]].map(rows => reply(1, { ...opened, rows })) as [
            LinkReply,
            LinkReply,
        ];
        assert.deepEqual(verdicts(matcher, first, second), [ReplyVerdict.Proved, ReplyVerdict.Proved]);
        const others = matcherOf(begin, begin);
        assert.deepEqual(
            verdicts(others, reply(1, { ...opened, rows: ["a"] }), reply(1, { ...opened, detail: "\na" })),
            [ReplyVerdict.Proved, ReplyVerdict.Proved],
        );
    });

    it("that are long or answer nothing are remembered up to a limit", () => {
        // Guards against a database that fills the memory of the proxy with signatures or replies.
        const signed = matcherOf(write);
        assert.equal(signed.isExhausted, false);
        signed.match(reply(1, { signature: "s".repeat(1_048_576) }));
        assert.equal(signed.isExhausted, true);
        const unasked = matcherOf();
        for (let index = 0; !unasked.isOverflowing; index++) {
            assert.ok(index < 8, "not limited");
            unasked.match(reply(1, { rows: [`${index}`.repeat(1_000_000)] }));
        }
    });

    it("without a signature are no answer to a statement", () => {
        const matcher = matcherOf(setValue, write);
        assert.deepEqual(verdicts(matcher, reply(1), reply(1), reply(1, { signature: "a" })), [
            ReplyVerdict.Proved,
            ReplyVerdict.Repeated,
            ReplyVerdict.Proved,
        ]);
    });

    it("to a beginning are in doubt if an earlier one was answered at the same position", () => {
        const matcher = matcherOf(begin, rollback, begin);
        assert.deepEqual(verdicts(matcher, reply(1, opened), reply(1), reply(1, opened)), [
            ReplyVerdict.Proved,
            ReplyVerdict.Proved,
            ReplyVerdict.Doubtful,
        ]);
    });

    it("to a beginning are proved by a later position, and repeats of earlier ones by an earlier one", () => {
        const matcher = matcherOf(begin, rollback, begin);
        assert.equal(matcher.canProveBegin(position(1, 1)), true);
        assert.deepEqual(verdicts(matcher, reply(1, opened), reply(1)), [ReplyVerdict.Proved, ReplyVerdict.Proved]);
        assert.equal(matcher.canProveBegin(position(1, 1)), false);
        assert.equal(matcher.canProveBegin(position(1, 2)), true);
        assert.deepEqual(verdicts(matcherWithBeginAt(1, 2), reply(1, opened), reply(3, opened)), [
            ReplyVerdict.Repeated,
            ReplyVerdict.Proved,
        ]);
    });

    it("that are faults are in doubt while the fault of an earlier command may be overdue", () => {
        // Guards against a promise that a write has not run, made from the refusal of the command before it.
        const matcher = matcherOf(setValue, setValue, write);
        const busy = reply(1, { fault: StatementFault.Busy });
        assert.deepEqual(verdicts(matcher, reply(1), reply(1), busy), [
            ReplyVerdict.Proved,
            ReplyVerdict.Doubtful,
            ReplyVerdict.Doubtful,
        ]);
    });

    it("that are faults are in doubt if the same one was received at the same position", () => {
        const matcher = matcherOf(write, write, write);
        const busy = { fault: StatementFault.Busy };
        assert.deepEqual(verdicts(matcher, reply(1, busy), reply(2, busy), reply(2, busy)), [
            ReplyVerdict.Proved,
            ReplyVerdict.Proved,
            ReplyVerdict.Doubtful,
        ]);
        assert.equal(matcher.canProveFaults(position(1, 3)), false);
    });

    it("with a new signature are unmatched where no statement was sent", () => {
        assert.deepEqual(verdicts(matcherOf(begin), reply(1, { signature: "a" })), [ReplyVerdict.Unmatched]);
        assert.deepEqual(verdicts(matcherOf(), reply(1, { signature: "a" })), [ReplyVerdict.Unmatched]);
    });

    it("that are repeated faults are no answer to a rollback, which cannot fail", () => {
        // Guards against a link that expects a failed transaction and takes no later answer for its own.
        const matcher = matcherOf(begin, write);
        const failed = reply(1, { fault: StatementFault.Failed, transaction: TransactionState.Failed });
        assert.deepEqual(verdicts(matcher, reply(1, opened), failed), [ReplyVerdict.Proved, ReplyVerdict.Proved]);
        matcher.expect(ReplyRole.Cleanup, rollback);
        assert.deepEqual(verdicts(matcher, failed, reply(1)), [ReplyVerdict.Repeated, ReplyVerdict.Proved]);
        matcher.expect(ReplyRole.Prelude, setValue);
        assert.deepEqual(verdicts(matcher, reply(2)), [ReplyVerdict.Proved]);
    });

    it("that are new faults are taken although the position of the database went back", () => {
        // Guards against writes that wait for their limit at a former primary whose log was rolled back.
        const matcher = matcherOf(write, write);
        const refused = reply(7, { fault: StatementFault.ReadOnly });
        assert.equal(matcher.match(reply(9, { signature: "a" })).verdict, ReplyVerdict.Proved);
        assert.notEqual(matcher.match(refused).verdict, ReplyVerdict.Repeated);
    });
});

/** A matcher that has seen the beginning of a transaction at one position, a statement at a later one, and begins again. */
function matcherWithBeginAt(beginOffset: number, latestOffset: number): ReplyMatcher {
    const matcher = matcherOf(begin, write, rollback, begin);
    matcher.match(reply(beginOffset, opened));
    matcher.match(reply(latestOffset, { ...opened, signature: "a" }));
    matcher.match(reply(latestOffset));
    return matcher;
}
