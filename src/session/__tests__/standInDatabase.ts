/** A simulated database in virtual time, with slots, connections, log positions, and one reply per command. */
import type { DatabaseReport } from "../../model/fleetMessages.ts";
import {
    type LinkCommand,
    LinkCommandKind,
    LinkKind,
    LinkLoss,
    type LinkOpen,
    type LinkReply,
    type LinkSend,
} from "../../model/linkMessages.ts";
import type { Position } from "../../model/position.ts";
import { SessionStatementKind, StatementFault, TransactionState } from "../../model/sessionStatement.ts";
import type { Message } from "../../pipeline/message.ts";
import type { Schedule } from "./schedule.ts";

/** Time for which opening a connection occupies a slot. */
const openMs = 12;

/** Time for which a read, a write or a commit occupies a slot. */
const workMs = 24;

type Answer = (message: Message) => void;

interface Connection {
    transaction: TransactionState;
    wrote: boolean;
    /** Commands that have not run yet, in order. */
    readonly commands: LinkCommand[];
    running: boolean;
    closed: boolean;
}

export interface StandInDatabaseOptions {
    readonly connectionLimit: number;
    /** Replication lag: replicas apply a commit this much later than the primary. */
    readonly lagMs: number;
}

export class StandInDatabase {
    readonly report: DatabaseReport;
    primary: StandInDatabase | undefined;
    /** Commit times; only commits at the primary are recorded. */
    readonly commits: number[] = [];
    openedCount = 0;
    refusedCount = 0;
    /** Instances that have opened connections, or tried to. */
    readonly openingInstanceIds = new Set<string>();
    /** Delay added to every answer. */
    answerDelayMs = 0;
    /** Messages to the database are delivered only after this time. */
    unreachableUntilMs = 0;
    /** Number of transactions begun, including those of probes. */
    transactionCount = 0;
    /** Called for each statement that runs, with the number of commits that the database has applied. */
    onStatement: (statementId: string, commits: number) => void = () => undefined;
    private readonly schedule: Schedule;
    private readonly options: StandInDatabaseOptions;
    private readonly connections = new Map<string, Connection>();
    private readonly waiting: (() => void)[] = [];
    private busy = 0;

    constructor(schedule: Schedule, report: DatabaseReport, options: StandInDatabaseOptions) {
        this.schedule = schedule;
        this.report = report;
        this.options = options;
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
        connection.commands.push(...(message as LinkSend).commands);
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
            wrote: false,
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
                answer({ kind: LinkKind.Replied, linkId, reply: this.run(connection, command) } as Message);
                this.proceed(connection, linkId, answer);
            }
        };
        const needsSlot = command.kind === LinkCommandKind.Run
            && command.statement.kind !== SessionStatementKind.Rollback;
        if (needsSlot) {
            this.withSlot(workMs, complete);
        }
        else {
            complete();
        }
    }

    private run(connection: Connection, command: LinkCommand): LinkReply {
        switch (command.kind) {
            case LinkCommandKind.Begin:
            case LinkCommandKind.BeginRead: {
                this.transactionCount += 1;
                const floor = command.kind === LinkCommandKind.BeginRead ? command.floor : undefined;
                if (command.kind === LinkCommandKind.Begin && !this.report.leads) {
                    return this.reply(connection, StatementFault.ReadOnly);
                }
                if (floor !== undefined && floor.offset > this.position().offset) {
                    return this.reply(connection, StatementFault.Lagging);
                }
                connection.transaction = TransactionState.Open;
                return this.reply(connection);
            }
            case LinkCommandKind.Rollback:
                connection.transaction = TransactionState.None;
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
            return this.reply(connection, StatementFault.Lagging);
        }
        this.onStatement(id, this.position().offset);
        if (kind === SessionStatementKind.Write) {
            if (!this.report.leads) {
                return this.reply(connection, StatementFault.ReadOnly);
            }
            if (connection.transaction === TransactionState.None) {
                this.commits.push(this.schedule.nowMs);
            }
            connection.wrote = true;
        }
        if (kind === SessionStatementKind.Commit || kind === SessionStatementKind.Rollback) {
            if (kind === SessionStatementKind.Commit && connection.wrote) {
                this.commits.push(this.schedule.nowMs);
            }
            connection.wrote = false;
            connection.transaction = TransactionState.None;
        }
        return this.reply(connection);
    }

    private reply({ transaction }: Connection, fault?: StatementFault): LinkReply {
        return {
            rows: [],
            signature: fault === undefined ? "signature" : undefined,
            fault,
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
        let offset = commits.length;
        while (offset > 0 && commits[offset - 1]! > this.schedule.nowMs - this.options.lagMs) {
            offset -= 1;
        }
        return { term: 1, offset };
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
