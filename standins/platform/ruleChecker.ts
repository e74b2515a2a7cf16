/** Checks what clients and databases see against the rules of the users' platform. */
import { isDeepStrictEqual } from "node:util";
import { AcknowledgedCommits, type RouteKind } from "./acknowledgedCommits.ts";
import type { ClientAnswer, ClientSession } from "./clientSession.ts";
import type { Database } from "./database.ts";
import type { DatabaseConnection } from "./databaseConnection.ts";
import type { Commit, ReplicatedLog } from "./replicatedLog.ts";
import { isSameStatement, parseStatement, type ReceivedStatement, type Statement } from "./statementText.ts";
import { lastFieldRoom, MessageKind, show } from "./wireMessages.ts";

export const Rule = {
    Mixed: "MIXED",
    Pinned: "PINNED",
    Unasked: "UNASKED",
    Twice: "TWICE",
    Refused: "REFUSED",
    Lost: "LOST",
    Stale: "STALE",
    One: "ONE",
    /** A process sends what is no message of the protocol, or what nobody asked for. */
    Protocol: "PROTOCOL",
} as const;
export type Rule = typeof Rule[keyof typeof Rule];

/** Codes that promise that nothing of the client's attempt is kept. */
const promiseCodes: readonly string[] = ["BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "CONNLIMIT"];

/** A proxy may refuse a text that would fill a message to within so many bytes, because it sends a position with it. */
const positionBytes = 64;

/** Number of times that each broken rule is told in full. */
const maximumExamples = 5;

/** One attempt of a client: a single statement or a transaction. */
export interface Operation {
    readonly id: string;
    readonly session: ClientSession;
    readonly kind: RouteKind;
    readonly isTransaction: boolean;
    /** Time of the first byte. */
    readonly startedAtMs: number;
}

interface Asked {
    readonly operation: Operation;
    readonly text: string;
    readonly statement: Statement;
    /** Values of the session when the client asked. */
    readonly values: string;
    /** VERB SHAPE that the client prepared under the name in the text. */
    readonly shape: string | undefined;
    /** Rows by the signature that came with them, for all runs. */
    readonly signatures: Map<string, readonly string[]>;
}

export interface RuleReport {
    /** Number of times that each rule was broken. */
    readonly broken: Readonly<Record<Rule, number>>;
    readonly examples: readonly string[];
    /** Answers to clients by code; `served` for successes. */
    readonly answers: Readonly<Record<string, number>>;
}

export const noRuleBroken: RuleReport["broken"] = {
    MIXED: 0,
    PINNED: 0,
    UNASKED: 0,
    TWICE: 0,
    REFUSED: 0,
    LOST: 0,
    STALE: 0,
    ONE: 0,
    PROTOCOL: 0,
};

export class RuleChecker {
    private broken = { ...noRuleBroken };
    private examples: string[] = [];
    private answers: Record<string, number> = {};
    private readonly acknowledged = new AcknowledgedCommits();
    private readonly startedAtMs = performance.now();
    private readonly asked = new Map<string, Asked>();
    private readonly commits = new Map<string, Commit>();
    private readonly connections = new Map<Operation, DatabaseConnection>();
    private readonly acknowledgedWrites = new Map<string, Operation>();
    private readonly holders = new Map<number, string>();
    private readonly refusedWrites = new Map<string, string>();

    get servedCount(): number {
        return this.answers["served"] ?? 0;
    }

    operationOf(statementId: string): string | undefined {
        return this.asked.get(statementId)?.operation.id;
    }

    /** A client is about to send a statement. */
    ask(id: string, operation: Operation, text: string): void {
        const statement = parseStatement(text);
        if (statement === undefined) {
            throw new Error(`a client must not ask ${show(text)}`);
        }
        const shape = runShape(statement, operation.session.shapes);
        const values = toText(operation.session.values);
        this.asked.set(id, { operation, text, statement, values, shape, signatures: new Map() });
    }

    /** A client or a database has got what the protocol does not allow. */
    violated(text: string): void {
        this.break(Rule.Protocol, text);
    }

    /** A database runs a statement; called before it takes effect on the connection. */
    ran(database: Database, connection: DatabaseConnection, statement: ReceivedStatement): void {
        const { id, verb } = statement;
        const { transaction } = connection;
        const where = `${show(id)} ${show(statement.text)} at ${database.id}`;
        if (id === "-") {
            if (verb === "COMMIT" && transaction!.writes.length > 0) {
                this.break(Rule.Unasked, `${where}: commits ${transaction!.writes.join()}`);
            }
            if (["READ", "WRITE", "EXECUTE"].includes(verb)) {
                this.break(Rule.Unasked, `${where}: of no client`);
            }
            return;
        }
        const asked = this.asked.get(id);
        if (asked === undefined) {
            this.break(Rule.Unasked, `${where}: asked was nothing`);
            return;
        }
        if (!isSameStatement(asked.statement, statement)) {
            this.break(Rule.Unasked, `${where}: asked was ${show(asked.text)}`);
        }
        const { operation } = asked;
        if (transaction !== undefined) {
            transaction.owner ??= operation.id;
            if (transaction.owner !== operation.id) {
                this.break(
                    verb === "COMMIT" ? Rule.Unasked : Rule.Pinned,
                    `${where}: in the transaction of ${transaction.owner}`,
                );
            }
        }
        else if (operation.isTransaction && verb !== "BEGIN") {
            this.break(Rule.Pinned, `${where}: outside its transaction`);
        }
        if (operation.isTransaction) {
            this.checkConnection(operation, connection, where);
        }
        if (["READ", "WRITE", "EXECUTE", "COMMIT"].includes(verb)) {
            this.checkPreparation(asked, connection, statement, where);
        }
    }

    /** A database reads for a statement. */
    read(database: Database, id: string): void {
        const operation = this.asked.get(id)?.operation;
        const missing = operation === undefined ? undefined : this.acknowledged.missingIn(database.log, operation);
        if (missing !== undefined) {
            this.break(
                Rule.Stale,
                `${id} reads at ${database.id} (${database.position()}), which lacks ${missing.term}.${missing.number}`,
            );
        }
    }

    /** A database answers a statement with a signature. */
    signed(id: string, signature: string, rows: readonly string[]): void {
        this.asked.get(id)?.signatures.set(signature, rows);
    }

    committed(commit: Commit): void {
        for (const id of commit.writes) {
            if (this.commits.has(id)) {
                this.break(Rule.Twice, `${id} is committed as ${commit.term}.${commit.number}, too`);
            }
            this.commits.set(id, commit);
        }
    }

    /**
     * A client has the answer to a statement.
     * @param writes statements that a success of this one commits
     */
    answered(id: string, answer: ClientAnswer, writes: readonly string[]): void {
        const { operation, text, statement, signatures } = this.asked.get(id)!;
        const { error, signature, rows } = answer;
        const code = error ?? "served";
        this.answers[code] = (this.answers[code] ?? 0) + 1;
        if (error === undefined) {
            const isSigned = ["READ", "WRITE", "EXECUTE", "COMMIT"].includes(statement.verb);
            const expectedRows = signatures.get(signature ?? "");
            if (isSigned && !isDeepStrictEqual(expectedRows, rows)) {
                const expected = expectedRows === undefined ? "a signature" : expectedRows.map(show).join(" | ");
                const got = `${signature} with ${rows.map(show).join(" | ")}`;
                this.break(Rule.Mixed, `${id} ${show(text)}: ${got}, not ${expected}`);
            }
            this.acknowledge(operation, writes);
        }
        else if (error === "UNKNOWN") {
            this.break(Rule.Pinned, `${id} ${show(text)}: the prepared name is unknown`);
        }
        else if (error === "MALFORMED" && text.length < lastFieldRoom(MessageKind.Query, id) - positionBytes) {
            this.break(Rule.Protocol, `${id} ${show(text)} is a statement, and was answered with ${error}`);
        }
        else if (promiseCodes.includes(error)) {
            writes.forEach(write => this.refusedWrites.set(write, error));
        }
    }

    /** A database has become the primary; commits that it lacks are gone. */
    promoted(database: Database): void {
        const dropped = [...this.commits].filter(([, commit]) => !database.log.contains(commit));
        for (const [write, commit] of dropped) {
            if (this.acknowledgedWrites.delete(write)) {
                const position = `${commit.term}.${commit.number}`;
                this.break(
                    Rule.Lost,
                    `${write} (${position}) is not at ${database.id}, promoted at ${database.position()}`,
                );
            }
            this.commits.delete(write);
        }
        this.acknowledged.drop(dropped.map(([, commit]) => commit));
    }

    /** The platform gets an order. */
    ordered(fence: number, holder: string): void {
        const first = this.holders.get(fence) ?? holder;
        this.holders.set(fence, first);
        if (first !== holder) {
            this.break(Rule.One, `${first} and ${holder} order with the token ${fence}`);
        }
    }

    /** Whether every commit that a client saw acknowledged is in one of the logs. */
    isCovered(logs: readonly ReplicatedLog[]): boolean {
        const newest = this.acknowledged.newest;
        return newest === undefined || logs.some(log => log.contains(newest));
    }

    /**
     * Checks what is kept when no client is active any more, and starts anew.
     * @param log the log of the present primary
     */
    finish(log: ReplicatedLog): RuleReport {
        const isKept = (write: string): boolean => {
            const commit = this.commits.get(write);
            return commit !== undefined && log.contains(commit);
        };
        for (const write of this.acknowledgedWrites.keys()) {
            if (!isKept(write)) {
                this.break(Rule.Lost, `${write} was acknowledged and is not kept`);
            }
        }
        for (const [write, code] of this.refusedWrites) {
            if (isKept(write)) {
                this.break(Rule.Refused, `${write} was answered with ${code} and is kept`);
            }
        }
        const report: RuleReport = { broken: this.broken, examples: this.examples, answers: this.answers };
        this.broken = { ...noRuleBroken };
        this.examples = [];
        this.answers = {};
        this.acknowledgedWrites.clear();
        this.refusedWrites.clear();
        return report;
    }

    private acknowledge(operation: Operation, writes: readonly string[]): void {
        const nowMs = performance.now();
        for (const write of writes) {
            this.acknowledgedWrites.set(write, operation);
            const commit = this.commits.get(write);
            if (commit !== undefined) {
                this.acknowledged.add({ commit, session: operation.session, atMs: nowMs });
            }
        }
    }

    private checkConnection(operation: Operation, connection: DatabaseConnection, where: string): void {
        const first = this.connections.get(operation) ?? connection;
        this.connections.set(operation, first);
        if (first !== connection) {
            this.break(Rule.Pinned, `${where}: on another connection`);
        }
    }

    private checkPreparation(
        { values, shape }: Asked,
        connection: DatabaseConnection,
        statement: Statement,
        where: string,
    ): void {
        const found = toText(connection.values);
        if (values !== found) {
            this.break(Rule.Pinned, `${where}: values are ${show(found)}, not ${show(values)}`);
        }
        const run = runShape(statement, connection.shapes);
        if (run !== shape) {
            this.break(Rule.Pinned, `${where}: runs ${show(run ?? "")}, prepared was ${show(shape ?? "")}`);
        }
    }

    private break(rule: Rule, text: string): void {
        this.broken[rule] += 1;
        if (this.broken[rule] <= maximumExamples) {
            this.examples.push(`${Math.round(performance.now() - this.startedAtMs)} ms ${rule} ${text}`);
        }
    }
}

/** VERB SHAPE that a statement runs; undefined if it is not a prepared one. */
function runShape({ verb, fields: [name] }: Statement, shapes: ReadonlyMap<string, string>): string | undefined {
    return verb === "EXECUTE" ? shapes.get(name!) : undefined;
}

function toText(values: ReadonlyMap<string, string>): string {
    return JSON.stringify([...values].sort(([left], [right]) => left < right ? -1 : 1));
}
