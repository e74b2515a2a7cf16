/**
 * A database of the users' platform. It runs in the process of a test, listens at an address of its own, and tells a
 * checker what it runs.
 */
import { randomBytes } from "node:crypto";
import { once } from "node:events";
import { createServer, type Server } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { DatabaseRole } from "../../src/model/database.ts";
import type { AnswerFaults } from "./answerFaults.ts";
import {
    type ConnectionCut,
    type DatabaseAnswer,
    DatabaseConnection,
    type StatementHandler,
} from "./databaseConnection.ts";
import type { DatabaseGroup } from "./databaseGroup.ts";
import { DatabaseReporter } from "./databaseReporter.ts";
import type { OddTexts } from "./oddTexts.ts";
import { type Commit, ReplicatedLog } from "./replicatedLog.ts";
import type { RuleChecker } from "./ruleChecker.ts";
import { preparedShape, type ReceivedStatement, type Statement } from "./statementText.ts";
import { lastFieldRoom, MessageKind } from "./wireMessages.ts";

/** Upper limits of times that are drawn: work on a statement, a message between databases, and a replica's lag. */
export const usualWorkMs = 4;
const maximumNetworkDelayMs = 5;
const maximumApplyDelayMs = 20;

/** Interval between two attempts to report a shutdown, and time after which a database ends without an acknowledgement. */
const shutdownRetryMs = 300;
const leaveLimitMs = 3_000;

const maximumRowBytes = lastFieldRoom(MessageKind.Row);

/** Time after which a database drops a connection whose other end is dark. */
const darkLimitMs = 3_000;

export interface DatabaseOptions {
    readonly id: string;
    readonly host: string;
    readonly port: number;
    readonly dataCentre: string;
    readonly role: DatabaseRole;
    readonly group: DatabaseGroup;
    /** HOST:PORT of the present control members. */
    readonly controls: () => readonly string[];
    readonly faults: AnswerFaults;
    readonly checker: RuleChecker;
    /** Makes rows odd, and cuts answers; without it, neither is done. */
    readonly texts?: OddTexts;
}

/** Commands with which control members prepare a promotion. */
const controlVerbs: readonly string[] = ["STATUS", "PAUSE", "RESUME", "STEPDOWN"];

const unsigned: DatabaseAnswer = { rows: [], signature: "-" };

/** What else of the network of a database is cut; by default nothing. */
export interface NetworkCut {
    /** Control members cannot be reached, and their connections pass nothing. */
    readonly control?: boolean;
    /** Reports alone reach no control member. */
    readonly reports?: boolean;
    /** These databases cannot be reached. */
    readonly databases?: readonly Database[];
}

interface WaitingCommit {
    readonly commit: Commit;
    readonly resolve: (error: string | undefined) => void;
}

export class Database implements StatementHandler, AsyncDisposable {
    readonly id: string;
    readonly options: DatabaseOptions;
    readonly log: ReplicatedLog;
    role: DatabaseRole;
    term: number;
    isRunning = false;
    /** `performance.now()` at which the last statement arrived that is no command of the control members. */
    lastWorkAtMs = 0;
    /** Upper limit of the time that a statement takes. */
    maximumWorkMs = usualWorkMs;
    /** Time by which what other databases send arrives later than usual. */
    lateMs = 0;
    state: "ready" | "draining" = "ready";
    /** Term of the promotion for which this replica does not receive; 0 if it receives. */
    private pausedTerm = 0;
    private waitingCommits: WaitingCommit[] = [];
    private signatureCount = 0;
    private connectionCut: ConnectionCut = { statements: false, answers: false };
    private networkCut: NetworkCut = {};
    private isCutFromPeers = false;
    private cutAtMs = 0;
    private readonly connections = new Set<DatabaseConnection>();
    private readonly reporter: DatabaseReporter;
    private readonly server: Server;

    /**
     * @param predecessor a database that does not run any more, whose place this one takes
     * @param keepsLog whether this one continues the log of its predecessor
     */
    constructor(options: DatabaseOptions, predecessor?: Database, keepsLog = true) {
        const { id, role, controls, group } = options;
        this.options = options;
        this.id = id;
        this.role = role;
        const origin = keepsLog ? predecessor : undefined;
        this.log = origin?.log.copy() ?? new ReplicatedLog();
        this.term = origin?.term ?? 1;
        this.reporter = new DatabaseReporter(id, controls, () => ({
            service: group.service,
            address: `${options.host}:${options.port}`,
            zone: options.dataCentre,
            state: this.state,
            db_role: this.role,
        }));
        this.server = createServer(socket => {
            const connection = new DatabaseConnection(socket, this, options.faults, options.texts);
            this.connections.add(connection);
            connection.cut(this.cutOf(false));
            socket.on("close", () => this.connections.delete(connection));
        });
        group.add(this, predecessor);
        if (group.leader === undefined || group.leader === origin) {
            group.leader = this;
        }
    }

    async start(): Promise<void> {
        this.server.listen(this.options.port, this.options.host);
        await once(this.server, "listening");
        this.isRunning = true;
        this.record("started", { role: this.role, position: this.log.receivedPosition });
        this.options.group.members.forEach(member => member.catchUp());
        this.reporter.start();
    }

    /** Ends without a word, as in a crash; the group keeps the database and its log. */
    async stop(): Promise<void> {
        if (this.isRunning) {
            this.isRunning = false;
            this.record("stopped", { role: this.role, position: this.log.receivedPosition });
            this.reporter.stop();
            this.waitingCommits = [];
            this.connections.forEach(connection => connection.close());
            await new Promise(resolve => this.server.close(resolve));
        }
    }

    /** Reports that the database drains, and serves on for a time after the acknowledgement. */
    async drain(forMs: number): Promise<void> {
        this.state = "draining";
        this.record("draining", {});
        while (this.isRunning && !await this.reporter.report()) {
            await delay(shutdownRetryMs);
        }
        await delay(forMs);
    }

    /** Leaves for good, and ends; without an acknowledgement some seconds later. */
    async leave(): Promise<void> {
        for (const startMs = performance.now(); performance.now() - startMs < leaveLimitMs;) {
            if (await this.reporter.leave()) {
                break;
            }
            await delay(shutdownRetryMs);
        }
        await this.stop();
    }

    /**
     * Cuts the network of the database in the place of an earlier cut; what waited in directions that are not cut any more is
     * passed on, unless the connections were dark for too long.
     * @param fromPeers no other database and no report can get through
     */
    cutOff(connections: ConnectionCut, fromPeers: boolean, network: NetworkCut = {}): void {
        const { control = false, reports = false, databases = [] } = network;
        const isDropped = performance.now() - this.cutAtMs > darkLimitMs;
        const wereDark = new Map([...this.connections].map(open => [open, this.cutOf(open.isControl).statements]));
        const ids = databases.map(({ id }) => id).join();
        this.record("cut off", { ...connections, fromPeers, control, reports, databases: ids });
        this.connectionCut = connections;
        this.networkCut = network;
        wereDark.forEach((wasDark, connection) => {
            const cut = this.cutOf(connection.isControl);
            if (wasDark && !cut.statements && isDropped) {
                connection.close();
            }
            else {
                connection.cut(cut);
            }
        });
        this.cutAtMs = performance.now();
        this.isCutFromPeers = fromPeers;
        this.reporter.isCutOff = fromPeers || control || reports;
        this.options.group.members.forEach(member => member.catchUp());
    }

    /** Ends the cut. */
    reconnect(): void {
        this.cutOff({ statements: false, answers: false }, false);
    }

    cutOf(isControl: boolean): ConnectionCut {
        return isControl && this.networkCut.control === true
            ? { statements: true, answers: true }
            : this.connectionCut;
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.stop();
    }

    /** Leads a term with what it has received. */
    lead(term: number): void {
        this.role = DatabaseRole.Primary;
        this.term = term;
        this.pausedTerm = 0;
        this.log.apply(this.log.received);
        void this.reporter.report();
    }

    /** Becomes a replica of the new leader of the group. */
    followPrimary(): void {
        this.role = DatabaseRole.Replica;
        this.pausedTerm = 0;
        this.endWaitingCommits();
        this.log.rollBackTo(this.options.group.leader!.log);
        if (this.isRunning) {
            this.catchUp();
            void this.reporter.report();
        }
    }

    accept(service: string, expectedId: string | undefined): string | undefined {
        const isMeant = service === this.options.group.service && (expectedId ?? this.id) === this.id;
        return isMeant ? undefined : "MISROUTED";
    }

    position(): string {
        return this.log.appliedPosition;
    }

    violated(text: string): void {
        this.options.checker.violated(`${text} at ${this.id}`);
    }

    async run(connection: DatabaseConnection, statement: ReceivedStatement): Promise<DatabaseAnswer> {
        if (!controlVerbs.includes(statement.verb)) {
            this.lastWorkAtMs = performance.now();
        }
        const error = this.refusal(connection, statement);
        if (error !== undefined) {
            connection.fail();
            return { error };
        }
        this.options.checker.ran(this, connection, statement);
        const { verb, fields: [name = "", second = ""] } = statement;
        switch (verb) {
            case "SET":
                connection.values.set(name, second);
                return unsigned;
            case "RESET":
                connection.values.clear();
                connection.shapes.clear();
                return unsigned;
            case "PREPARE":
                connection.shapes.set(name, preparedShape(statement));
                return unsigned;
            case "DEALLOC":
                connection.shapes.delete(name);
                return unsigned;
            case "BEGIN":
                connection.begin(name === "READ");
                connection.transaction!.owner = this.options.checker.operationOf(statement.id);
                return unsigned;
            case "ROLLBACK":
                connection.end();
                return unsigned;
            case "COMMIT":
                return this.commit(statement.id, connection.end()!.writes);
            case "STATUS":
            case "PAUSE":
            case "RESUME":
            case "STEPDOWN":
                return this.obey(verb, Number(name));
            default:
                return this.readOrWrite(connection, statement);
        }
    }

    /** Code of the error with which a statement ends without an effect. */
    private refusal(
        connection: DatabaseConnection,
        statement: ReceivedStatement,
    ): string | undefined {
        const { after, verb, fields: [name = ""] } = statement;
        const { faults } = this.options;
        const { transaction, state } = connection;
        if (state === "E" && verb === "COMMIT") {
            connection.end();
            return "ABORTED";
        }
        const endsTransaction = verb === "COMMIT" || verb === "ROLLBACK";
        const fitsState = verb === "BEGIN" ? state === "I" : endsTransaction ? state !== "I" : state !== "E";
        if (!fitsState) {
            return "MALFORMED";
        }
        if (verb === "STATUS") {
            return faults.nextError(false) && "BUSY";
        }
        if (["ROLLBACK", "RESET", "PAUSE", "RESUME", "STEPDOWN"].includes(verb)) {
            return undefined;
        }
        if (["SET", "PREPARE", "DEALLOC"].includes(verb)) {
            return faults.nextSetupError();
        }
        if (after !== undefined && (!this.log.reaches(after) || faults.nextLag())) {
            return "LAGGING";
        }
        if (verb === "EXECUTE" && !connection.shapes.has(name)) {
            return "UNKNOWN";
        }
        const needsLead = transaction === undefined
            ? verb === "BEGIN" && name === "" || isWrite(connection, statement)
            : !transaction.isReadOnly && !(verb === "COMMIT" && transaction.writes.length === 0);
        if (needsLead && this.role !== DatabaseRole.Primary) {
            return "READONLY";
        }
        return faults.nextError(needsLead);
    }

    private async readOrWrite(
        connection: DatabaseConnection,
        statement: ReceivedStatement,
    ): Promise<DatabaseAnswer> {
        const { checker, faults, texts } = this.options;
        const { id, fields } = statement;
        const writes = isWrite(connection, statement);
        await delay(faults.nextDelayMs(this.maximumWorkMs));
        if (!this.isRunning) {
            return { error: "FAILED" };
        }
        if (!writes) {
            checker.read(this, id);
            const value = randomBytes(8).toString("hex");
            return this.sign(id, [fields.at(-1)!, texts?.replace(value, maximumRowBytes) ?? value]);
        }
        if (connection.transaction !== undefined) {
            connection.transaction.writes.push(id);
            return this.sign(id);
        }
        return this.commit(id, [id]);
    }

    /** Appends a commit and waits until a replica has received it. */
    private async commit(id: string, writes: readonly string[]): Promise<DatabaseAnswer> {
        if (writes.length === 0) {
            return this.sign(id);
        }
        if (this.role !== DatabaseRole.Primary || !this.isRunning) {
            return { error: "READONLY" };
        }
        const commit = this.log.append(this.term, writes);
        this.log.apply(commit.number);
        this.options.checker.committed(commit);
        const confirmed = new Promise<string | undefined>(resolve => this.waitingCommits.push({ commit, resolve }));
        this.options.group.members.filter(other => other !== this).forEach(replica =>
            setTimeout(() => replica.receive(this, commit.number), this.networkDelayMs() + replica.lateMs).unref()
        );
        const error = await confirmed;
        return error === undefined ? this.sign(id) : { error };
    }

    /** Receives the log of the database that led last, which sends on after it has stepped down. */
    private receive(source: Database, upTo: number): void {
        const { group, faults } = this.options;
        const receives = this.isRunning && this.role === DatabaseRole.Replica && this.pausedTerm === 0;
        if (!receives || !source.isRunning || !this.reaches(source) || source !== group.leader) {
            return;
        }
        this.log.follow(source.log, upTo);
        this.term = Math.max(this.term, source.term);
        setTimeout(() => this.log.apply(upTo), faults.nextDelayMs(maximumApplyDelayMs)).unref();
        setTimeout(() => this.reaches(source) && source.confirm(upTo), this.networkDelayMs()).unref();
    }

    private reaches(other: Database): boolean {
        return ![[this, other], [other, this]].some(([from, to]) =>
            from!.isCutFromPeers || from!.networkCut.databases?.some(({ options }) => options.host === to!.options.host)
        );
    }

    private confirm(upTo: number): void {
        const confirmed = this.waitingCommits.filter(({ commit }) => commit.number <= upTo);
        this.waitingCommits = this.waitingCommits.filter(({ commit }) => commit.number > upTo);
        confirmed.forEach(({ resolve }) => resolve(this.role === DatabaseRole.Primary ? undefined : "INDOUBT"));
    }

    private endWaitingCommits(): void {
        this.waitingCommits.forEach(({ resolve }) => resolve("INDOUBT"));
        this.waitingCommits = [];
    }

    private catchUp(): void {
        const source = this.options.group.leader;
        if (source !== undefined && source !== this) {
            setTimeout(() => this.receive(source, source.log.received), this.networkDelayMs() + this.lateMs).unref();
        }
    }

    private obey(verb: string, term: number): DatabaseAnswer {
        const newestTerm = this.options.group.newestTerm;
        if (verb === "PAUSE" && this.role === DatabaseRole.Replica && term > newestTerm) {
            this.pausedTerm = term;
        }
        if (verb === "RESUME") {
            this.pausedTerm = 0;
            this.catchUp();
        }
        if (verb === "STEPDOWN" && this.role === DatabaseRole.Primary && term > this.term) {
            this.role = DatabaseRole.Replica;
            void this.reporter.report();
        }
        const received = this.log.receivedPosition;
        if (verb !== "STATUS") {
            this.record(verb.toLowerCase(), { term, role: this.role, position: received });
        }
        const row = [this.role, this.term, received, this.pausedTerm, 0, 0, this.connections.size].join(" ");
        return { rows: [row], signature: "-" };
    }

    private record(event: string, fields: Readonly<Record<string, string | number | boolean>>): void {
        this.options.group.events.write(event, { database: this.id, ...fields });
    }

    private networkDelayMs(): number {
        return this.options.faults.nextDelayMs(maximumNetworkDelayMs);
    }

    private sign(id: string, rows: readonly string[] = []): DatabaseAnswer {
        this.signatureCount += 1;
        const signature = `${this.id}.${this.signatureCount}.${randomBytes(8).toString("hex")}`;
        this.options.checker.signed(id, signature, rows);
        return { rows, signature };
    }
}

/** Whether a statement writes; a prepared one does if its shape says so. */
function isWrite({ shapes }: DatabaseConnection, { verb, fields: [name] }: Statement): boolean {
    return verb === "WRITE" || verb === "EXECUTE" && shapes.get(name!)?.startsWith("WRITE ") === true;
}
