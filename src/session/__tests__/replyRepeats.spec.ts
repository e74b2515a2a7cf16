/** A connection that repeats replies late, in a seeded model: what the matcher proves is the answer to that very command. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type LinkCommand, LinkCommandKind, type LinkReply } from "../../model/linkMessages.ts";
import { SessionStatementKind, StatementFault, TransactionState } from "../../model/sessionStatement.ts";
import { SeededRandom } from "../../pipeline/seededRandom.ts";
import { ReplyMatcher, ReplyRole, ReplyVerdict } from "../replyMatcher.ts";
import { position, statement } from "./sessionFixture.ts";

interface Arrival {
    /** Index of the command that the reply answers. */
    readonly index: number;
    readonly reply: LinkReply;
}

const faults = [StatementFault.Busy, StatementFault.ReadOnly, StatementFault.Failed];

/** One connection to a database; the matcher learns of replies in the order in which they arrive. */
class RepeatingConnection {
    readonly matcher = new ReplyMatcher();
    /** Verdicts that proved a reply which is the answer to another command. */
    readonly wrong: string[] = [];
    proved = 0;
    private readonly random: SeededRandom;
    private readonly sent: LinkCommand[] = [];
    /** Index of the command whose reply the matcher takes next. */
    private matched = 0;
    private readonly answers: Arrival[] = [];
    private readonly repeats: Arrival[] = [];
    private state: TransactionState = TransactionState.None;
    private offset = 1;

    constructor(seed: number) {
        this.random = new SeededRandom(seed);
    }

    /** Runs operations until one of them ends the link. */
    runOperations(count: number): void {
        let isOpen = true;
        for (let index = 0; index < count && isOpen; index++) {
            isOpen = this.runOperation();
        }
    }

    /** Runs an operation of the kind that links run; returns false if the link has to be closed. */
    private runOperation(): boolean {
        const inTransaction = this.random.nextFloat() < 0.6;
        const prelude = this.random.nextFloat() < 0.4 ? [setValue] : [];
        if (!inTransaction) {
            return this.matcher.canProveBegin(position(1, this.offset))
                ? this.exchange([...prelude, begin, rollback], true)
                    && this.exchange([run(SessionStatementKind.Write)], true)
                : this.exchange([run(SessionStatementKind.Read)], false);
        }
        if (!this.matcher.canProveBegin(position(1, this.offset)) || !this.exchange([...prelude, begin], true)) {
            return false;
        }
        for (let count = this.random.nextInteger(3); count > 0; count--) {
            if (this.random.nextFloat() < 0.4 && !this.exchange([setValue], false)) {
                return false;
            }
            if (!this.exchange([run(SessionStatementKind.Read)], true)) {
                return false;
            }
        }
        return this.random.nextFloat() < 0.5
            ? this.exchange([run(SessionStatementKind.Commit)], true)
            : this.exchange([rollback], false);
    }

    /** Sends commands, and takes replies until each has one; a fault or a doubt that links do not accept ends the link. */
    private exchange(commands: readonly LinkCommand[], needsProof: boolean): boolean {
        commands.forEach(command => {
            this.matcher.expect(ReplyRole.Statement, command);
            this.sent.push(command);
            this.answers.push({ index: this.sent.length - 1, reply: this.execute(command) });
        });
        while (this.matcher.expectedCount > 0) {
            const arrival = this.nextArrival();
            if (arrival === undefined) {
                return false;
            }
            const { verdict } = this.matcher.match(arrival.reply);
            if (verdict === ReplyVerdict.Unmatched) {
                return false;
            }
            if (verdict === ReplyVerdict.Repeated) {
                continue;
            }
            const { kind } = this.sent[this.matched]!;
            if (verdict === ReplyVerdict.Proved) {
                this.proved++;
                if (arrival.index !== this.matched) {
                    this.wrong.push(`${kind} ${this.matched} by the answer to ${arrival.index}`);
                }
            }
            this.matched++;
            const isDoubted = verdict === ReplyVerdict.Doubtful && needsProof && kind !== LinkCommandKind.Rollback
                && kind !== LinkCommandKind.SetValue;
            if (arrival.reply.fault !== undefined || isDoubted) {
                return false;
            }
        }
        return true;
    }

    private nextArrival(): Arrival | undefined {
        const repeat = this.random.nextFloat() < 0.3 && this.repeats.length > 0
            ? this.repeats.splice(this.random.nextInteger(this.repeats.length), 1)[0]
            : undefined;
        if (repeat !== undefined) {
            return repeat;
        }
        const answer = this.answers.shift();
        if (answer !== undefined && this.random.nextFloat() < 0.5) {
            this.repeats.push(answer);
        }
        return answer;
    }

    private execute(command: LinkCommand): LinkReply {
        if (this.random.nextFloat() < 0.4) {
            this.offset++;
        }
        const isRun = command.kind === LinkCommandKind.Run;
        const fault = command.kind !== LinkCommandKind.Rollback && this.random.nextFloat() < 0.03
            ? faults[this.random.nextInteger(faults.length)]
            : undefined;
        if (fault !== undefined) {
            this.state = this.state === TransactionState.None ? TransactionState.None : TransactionState.Failed;
        }
        else if (command.kind === LinkCommandKind.Begin) {
            this.state = TransactionState.Open;
        }
        else if (
            command.kind === LinkCommandKind.Rollback
            || isRun && command.statement.kind === SessionStatementKind.Commit
        ) {
            this.state = TransactionState.None;
        }
        return {
            rows: [],
            signature: isRun && fault === undefined ? `s${this.sent.length}` : undefined,
            fault,
            detail: fault === undefined ? "" : "d",
            transaction: this.state,
            position: position(1, this.offset),
            status: undefined,
        };
    }
}

const begin: LinkCommand = { kind: LinkCommandKind.Begin };
const rollback: LinkCommand = { kind: LinkCommandKind.Rollback };
const setValue: LinkCommand = { kind: LinkCommandKind.SetValue, name: "x", value: "1" };

function run(kind: typeof SessionStatementKind[keyof typeof SessionStatementKind]): LinkCommand {
    return { kind: LinkCommandKind.Run, statement: statement(kind, "t"), floor: undefined };
}

describe("a connection that repeats its replies late", () => {
    it("proves no reply that answers another command", () => {
        // Guards against a repeat that counts as an answer because its first copy was dropped without being remembered.
        const wrong: string[] = [];
        let proved = 0;
        for (let seed = 1; seed <= 3_000; seed++) {
            const connection = new RepeatingConnection(seed);
            connection.runOperations(30);
            proved += connection.proved;
            wrong.push(...connection.wrong.slice(0, 1).map(text => `seed ${seed}: ${text}`));
        }
        assert.ok(proved > 10_000, `${proved} proved`);
        assert.deepEqual(wrong.slice(0, 5), [], `${wrong.length} of 3000 connections`);
    });
});
