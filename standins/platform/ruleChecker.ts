/** Checks what clients and databases see against the rules of the users' platform. */
import { splitWords } from "../../src/platform/wireLines.ts";
import { AcknowledgedCommits, type RouteKind } from "./acknowledgedCommits.ts";
import type { ClientAnswer, ClientSession } from "./clientSession.ts";
import type { Database } from "./database.ts";
import type { DatabaseConnection, ReceivedStatement } from "./databaseConnection.ts";
import type { Commit, ReplicatedLog } from "./replicatedLog.ts";

export const Rule = {
    Mixed: "MIXED",
    Pinned: "PINNED",
    Unasked: "UNASKED",
    Twice: "TWICE",
    Refused: "REFUSED",
    Lost: "LOST",
    Stale: "STALE",
    One: "ONE",
} as const;
export type Rule = typeof Rule[keyof typeof Rule];

/** Codes that promise that nothing of the client's attempt is kept. */
const promiseCodes: readonly string[] = ["BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "CONNLIMIT"];

/** Number of broken rules that are told in full. */
const maximumExamples = 20;

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
        const shape = text.startsWith("EXECUTE ") ? operation.session.shapes.get(text.split(" ")[1]!) : undefined;
        const values = toText(operation.session.values);
        this.asked.set(id, { operation, text, values, shape, signatures: new Map() });
    }

    /** A database runs a statement; called before it takes effect on the connection. */
    ran(database: Database, connection: DatabaseConnection, statement: ReceivedStatement): void {
        const { id, text } = statement;
        const { transaction } = connection;
        const verb = text.split(" ", 1)[0]!;
        const where = `${id} ${text} at ${database.id}`;
        if (id === "-") {
            if (verb === "COMMIT" && transaction!.writes.length > 0) {
                this.break(Rule.Unasked, `${where}: commits ${transaction!.writes.join()}`);
            }
            return;
        }
        const asked = this.asked.get(id);
        if (asked === undefined || withoutName(asked.text) !== withoutName(text)) {
            this.break(Rule.Unasked, `${where}: asked was ${asked?.text}`);
            return;
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
            this.checkPreparation(asked, connection, text, where);
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
        const { operation, text, signatures } = this.asked.get(id)!;
        const { error, signature, rows, lines } = answer;
        const code = error ?? "served";
        this.answers[code] = (this.answers[code] ?? 0) + 1;
        if (error === undefined) {
            const isSigned = /^(READ|WRITE|EXECUTE|COMMIT)\b/.test(text);
            const expectedRows = signatures.get(signature ?? "");
            if (isSigned && expectedRows?.join("\n") !== rows.join("\n")) {
                this.break(Rule.Mixed, `${id} ${text}: ${lines.join(" | ")}`);
            }
            this.acknowledge(operation, writes);
        }
        else if (error === "UNKNOWN") {
            this.break(Rule.Pinned, `${id} ${text}: the prepared name is unknown`);
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

    private checkPreparation(asked: Asked, connection: DatabaseConnection, text: string, where: string): void {
        const { values, shape } = asked;
        const found = toText(connection.values);
        if (values !== found) {
            this.break(Rule.Pinned, `${where}: values are "${found}", not "${values}"`);
        }
        const runShape = text.startsWith("EXECUTE ") ? connection.shapes.get(text.split(" ")[1]!) : undefined;
        if (runShape !== shape) {
            this.break(Rule.Pinned, `${where}: runs ${runShape}, prepared was ${shape}`);
        }
    }

    private break(rule: Rule, text: string): void {
        this.broken[rule] += 1;
        if (this.examples.length < maximumExamples) {
            this.examples.push(`${Math.round(performance.now() - this.startedAtMs)} ms ${rule} ${text}`);
        }
    }
}

/** Replaces the prepared name, which a proxy may change. */
function withoutName(text: string): string {
    const [verb, name, rest] = splitWords(text, 2) as [string, string, string];
    return ["PREPARE", "EXECUTE", "DEALLOC"].includes(verb) && name !== "" ? `${verb} ? ${rest}` : text;
}

function toText(values: ReadonlyMap<string, string>): string {
    return [...values].map(([name, value]) => `${name}=${value}`).sort().join();
}
