/** A simulated database in virtual time, with slots, connections, log positions, and one reply per command. */
import type { DatabaseReport } from "../../model/fleetMessages.ts";
import {
    type LinkCommand,
    LinkCommandKind,
    LinkKind,
    LinkLoss,
    type LinkOpen,
    type LinkReplied,
    type LinkReply,
    type LinkSend,
} from "../../model/linkMessages.ts";
import type { Position } from "../../model/position.ts";
import { SessionStatementKind, StatementFault, TransactionState } from "../../model/sessionStatement.ts";
import type { Message } from "../../pipeline/message.ts";
import type { SeededRandom } from "../../pipeline/seededRandom.ts";
import type { AnswerChecker, ConnectionTransaction } from "./answerChecker.ts";
import type { Schedule } from "./schedule.ts";

/** Time for which opening a connection occupies a slot. */
const openMs = 12;

/** Longest time between a reply and its repetition. */
const maximumRepeatDelayMs = 400;

type Answer = (message: Message) => void;

interface Connection extends ConnectionTransaction {
    /** Commands that have not run yet, in order. */
    readonly commands: LinkCommand[];
    running: boolean;
    closed: boolean;
}

export interface StandInDatabaseOptions {
    readonly connectionLimit: number;
    /** Initial replication lag. */
    readonly lagMs: number;
    readonly random: SeededRandom;
    readonly checker: AnswerChecker;
}

export class StandInDatabase {
    readonly report: DatabaseReport;
    primary: StandInDatabase | undefined;
    /** Commit times; only commits at the primary are recorded. */
    readonly commits: number[] = [];
    openedCount = 0;
    refusedCount = 0;
    /** Number of statements and transactions that were refused because the replica lags. */
    laggingCount = 0;
    /** Replication lag: replicas apply a commit this much later than the primary. */
    lagMs: number;
    /** Time for which a read, a write or a commit occupies a slot. */
    workMs = 24;
    /** Instances that have opened connections, or tried to. */
    readonly openingInstanceIds = new Set<string>();
    /** Delay added to every answer. */
    answerDelayMs = 0;
    /** Messages to the database are delivered only after this time. */
    unreachableUntilMs = 0;
    /** Share of the replies that are sent twice, the second time late. */
    repeatedShare = 0;
    /** Share of the statements and transactions that are refused as busy. */
    busyShare = 0;
    /** Number of transactions begun, including those of probes. */
    transactionCount = 0;
    /** Times at which statements of callers arrived. */
    readonly arrivalsMs: number[] = [];
    /** Called for each statement that runs, with the number of commits that the database has applied. */
    onStatement: (statementId: string, commits: number) => void = () => undefined;
    private readonly schedule: Schedule;
    private readonly options: StandInDatabaseOptions;
    private readonly connections = new Map<string, Connection>();
    private readonly waiting: (() => void)[] = [];
    private busy = 0;
    /** Number of the primary's commits that this replica has applied. */
    private appliedCount = 0;
    private nextSignature = 0;

    constructor(schedule: Schedule, report: DatabaseReport, options: StandInDatabaseOptions) {
        this.schedule = schedule;
        this.report = report;
        this.options = options;
        this.lagMs = options.lagMs;
    }

    get connectionCount(): number {
        return this.connections.size;
    }

    /** Receives a message of an instance; messages for links of other databases are ignored. */
    receive(instanceId: string, message: Message, answer: Answer): void {
        if (message.kind === LinkKind.Open) {
            this.openingInstanceIds.add(instanceId);
        }
        if (this.schedule.nowMs < this.unreachableUntilMs) {
            this.schedule.at(this.unreachableUntilMs, () => this.receive(instanceId, message, answer));
            return;
        }
        const { answerDelayMs } = this;
        this.handleMessage(
            instanceId,
            message,
            answerDelayMs === 0 ? answer : late => this.schedule.after(answerDelayMs, () => answer(late)),
        );
    }

    private handleMessage(instanceId: string, message: Message, answer: Answer): void {
        const { linkId } = message as LinkOpen;
        const key = `${instanceId}/${linkId}`;
        if (message.kind === LinkKind.Open) {
            this.accept(key, linkId, answer);
            return;
        }
        const connection = this.connections.get(key);
        if (connection === undefined) {
            return;
        }
        if (message.kind === LinkKind.Close) {
            connection.closed = true;
            this.connections.delete(key);
            return;
        }
        const { commands } = message as LinkSend;
        connection.commands.push(...commands);
        commands.filter(({ kind }) => kind === LinkCommandKind.Run)
            .forEach(() => this.arrivalsMs.push(this.schedule.nowMs));
        this.proceed(connection, linkId, answer);
    }

    /** Closes all connections of an instance that has ended. */
    closeConnections(instanceId: string): void {
        for (const [key, connection] of this.connections) {
            if (key.startsWith(`${instanceId}/`)) {
                connection.closed = true;
                this.connections.delete(key);
            }
        }
    }

    private accept(key: string, linkId: string, answer: Answer): void {
        if (this.connections.size >= this.options.connectionLimit) {
            this.refusedCount += 1;
            const fault = StatementFault.ConnectionLimit;
            answer({ kind: LinkKind.Lost, linkId, loss: LinkLoss.Refused, fault } as Message);
            return;
        }
        this.openedCount += 1;
        this.connections.set(key, {
            transaction: TransactionState.None,
            ownerSessionId: undefined,
            writeIds: [],
            commands: [],
            running: false,
            closed: false,
        });
        this.withSlot(openMs, () => answer({ kind: LinkKind.Opened, linkId, position: undefined } as Message));
    }

    private proceed(connection: Connection, linkId: string, answer: Answer): void {
        const command = connection.running ? undefined : connection.commands.shift();
        if (command === undefined) {
            return;
        }
        connection.running = true;
        const complete = () => {
            connection.running = false;
            if (!connection.closed) {
                this.sendReply({ kind: LinkKind.Replied, linkId, reply: this.run(connection, command) }, answer);
                this.proceed(connection, linkId, answer);
            }
        };
        const needsSlot = command.kind === LinkCommandKind.Run
            && command.statement.kind !== SessionStatementKind.Rollback;
        if (needsSlot) {
            this.withSlot(this.workMs, complete);
        }
        else {
            complete();
        }
    }

    private sendReply(replied: LinkReplied, answer: Answer): void {
        const { random } = this.options;
        answer(replied);
        if (random.nextFloat() < this.repeatedShare) {
            this.schedule.after(1 + maximumRepeatDelayMs * random.nextFloat() ** 2, () => answer(replied));
        }
    }

    private run(connection: Connection, command: LinkCommand): LinkReply {
        const isRollback = command.kind === LinkCommandKind.Rollback
            || command.kind === LinkCommandKind.Run && command.statement.kind === SessionStatementKind.Rollback;
        if (!isRollback && this.options.random.nextFloat() < this.busyShare) {
            return this.refuse(connection, StatementFault.Busy);
        }
        switch (command.kind) {
            case LinkCommandKind.Begin:
            case LinkCommandKind.BeginRead: {
                this.transactionCount += 1;
                const floor = command.kind === LinkCommandKind.BeginRead ? command.floor : undefined;
                if (command.kind === LinkCommandKind.Begin && !this.report.leads) {
                    return this.refuse(connection, StatementFault.ReadOnly);
                }
                if (floor !== undefined && floor.offset > this.position().offset) {
                    return this.refuse(connection, StatementFault.Lagging);
                }
                Object.assign(connection, { transaction: TransactionState.Open, ownerSessionId: undefined });
                return this.reply(connection);
            }
            case LinkCommandKind.Rollback:
                Object.assign(connection, { transaction: TransactionState.None, writeIds: [] });
                return this.reply(connection);
            case LinkCommandKind.Run:
                return this.runStatement(connection, command);
            default:
                return this.reply(connection);
        }
    }

    private runStatement(
        connection: Connection,
        { statement: { id, kind }, floor }: LinkCommand & { readonly kind: typeof LinkCommandKind.Run; },
    ): LinkReply {
        if (floor !== undefined && floor.offset > this.position().offset) {
            return this.refuse(connection, StatementFault.Lagging);
        }
        if (connection.transaction === TransactionState.Failed && kind !== SessionStatementKind.Rollback) {
            return this.refuse(connection, StatementFault.Malformed);
        }
        this.onStatement(id, this.position().offset);
        this.options.checker.run(id, kind, connection);
        if (kind === SessionStatementKind.Write) {
            if (!this.report.leads) {
                return this.refuse(connection, StatementFault.ReadOnly);
            }
            connection.writeIds.push(id);
            if (connection.transaction === TransactionState.None) {
                this.commit(connection);
            }
        }
        if (kind === SessionStatementKind.Commit || kind === SessionStatementKind.Rollback) {
            if (kind === SessionStatementKind.Commit) {
                this.commit(connection);
            }
            Object.assign(connection, { transaction: TransactionState.None, writeIds: [] });
        }
        return kind === SessionStatementKind.Rollback
            ? this.reply(connection)
            : { ...this.reply(connection), signature: `${id}/${this.nextSignature++}` };
    }

    private commit(connection: Connection): void {
        if (connection.writeIds.length > 0) {
            this.commits.push(this.schedule.nowMs);
            this.options.checker.commit(connection.writeIds);
            connection.writeIds = [];
        }
    }

    private refuse(connection: Connection, fault: StatementFault): LinkReply {
        this.laggingCount += fault === StatementFault.Lagging ? 1 : 0;
        if (connection.transaction === TransactionState.Open) {
            connection.transaction = TransactionState.Failed;
        }
        return { ...this.reply(connection), fault };
    }

    private reply({ transaction }: Connection): LinkReply {
        return {
            rows: [],
            signature: undefined,
            fault: undefined,
            detail: "",
            transaction,
            position: this.position(),
            status: undefined,
        };
    }

    private position(): Position {
        if (this.report.leads) {
            return { term: 1, offset: this.commits.length };
        }
        const commits = this.primary?.commits ?? [];
        while ((commits[this.appliedCount] ?? Infinity) <= this.schedule.nowMs - this.lagMs) {
            this.appliedCount += 1;
        }
        return { term: 1, offset: this.appliedCount };
    }

    private withSlot(durationMs: number, complete: () => void): void {
        if (this.busy >= this.report.slots) {
            this.waiting.push(() => this.withSlot(durationMs, complete));
            return;
        }
        this.busy += 1;
        this.schedule.after(durationMs, () => {
            this.busy -= 1;
            complete();
            this.waiting.shift()?.();
        });
    }
}
