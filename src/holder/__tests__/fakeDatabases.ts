/** Fake databases at the level of `backend.*` messages, with replication lag and faults, for the specs of this folder. */
import { BackendKind } from "../../model/backendMessages.ts";
import { DatabaseRole } from "../../model/database.ts";
import { type Outcome, OutcomeKind } from "../../model/outcome.ts";
import { RefusalCode, refuse } from "../../model/refusal.ts";
import type { Message } from "../../pipeline/message.ts";
import type { Sink } from "../../pipeline/sink.ts";

/** One committed statement. */
interface Commit {
    readonly texts: readonly string[];
}

interface FakeDatabase {
    role: DatabaseRole;
    term: number;
    /** Commits the database has applied, oldest first. */
    readonly log: Commit[];
    serviceMs: number;
    acceptsConnections: boolean;
    running: number;
    maximumRunning: number;
    maximumLinks: number;
}

interface FakeLink {
    readonly databaseId: string;
    /** Texts of the open transaction. */
    transaction: string[] | undefined;
    busy: boolean;
    /** Gives no answer any more, and runs nothing. */
    unresponsive: boolean;
    /** Runs the next statement and ends without an answer. */
    closesAfterNext: boolean;
}

type BackendMessage = Message & {
    readonly linkId: string;
    readonly executionId: string;
    readonly databaseId: string;
    readonly text: string;
};

export interface FakeDatabasesOptions {
    /** Posts `message` to the loop at `atMs`. */
    readonly postAt: (atMs: number, message: Message) => void;
    readonly nowMs: () => number;
}

const openMs = 12;

export class FakeDatabases implements Sink<BackendMessage> {
    readonly accepts = [
        BackendKind.Open,
        BackendKind.Execute,
        BackendKind.ReadPosition,
        BackendKind.Close,
        BackendKind.Promote,
        BackendKind.Follow,
    ];
    readonly databases = new Map<string, FakeDatabase>();
    readonly links = new Map<string, FakeLink>();
    /** Faults seen while the holder used the connections; each is a broken guarantee. */
    readonly violations: string[] = [];
    /** Texts in the order in which they ran, and those that were committed alone. */
    readonly executedTexts: string[] = [];
    readonly autocommitted: string[] = [];
    onExecute: (text: string, nowMs: number) => void = () => undefined;
    private readonly options: FakeDatabasesOptions;

    constructor(options: FakeDatabasesOptions) {
        this.options = options;
    }

    add(databaseId: string, role: DatabaseRole, serviceMs = 1): void {
        this.databases.set(databaseId, {
            role,
            term: 1,
            log: [],
            serviceMs,
            acceptsConnections: true,
            running: 0,
            maximumRunning: 0,
            maximumLinks: 0,
        });
    }

    get(databaseId: string): FakeDatabase {
        return this.databases.get(databaseId)!;
    }

    /** Copies what `from` committed to a replica, up to `offset`. */
    replicate(from: string, to: string, offset = Infinity): void {
        const source = this.get(from);
        const target = this.get(to);
        target.term = source.term;
        target.log.push(...source.log.slice(target.log.length, Math.min(offset, source.log.length)));
    }

    /** Ends every connection for which `matches` holds, as a broken network does. */
    closeLinks(matches: (linkId: string, databaseId: string) => boolean): void {
        for (const [linkId, link] of [...this.links]) {
            if (matches(linkId, link.databaseId)) {
                this.closeLink(linkId, "cut");
            }
        }
    }

    /** Times that `text` was committed on a database. */
    timesCommitted(databaseId: string, text: string): number {
        return this.get(databaseId).log.flatMap(commit => commit.texts).filter(other => other === text).length;
    }

    deliver(message: BackendMessage): void {
        if (message.kind === BackendKind.Open) {
            this.open(message);
        }
        else if (message.kind === BackendKind.Close) {
            this.closeLink(message.linkId, "closed by the holder");
        }
        else {
            this.startOperation(message);
        }
    }

    private open({ linkId, databaseId }: BackendMessage): void {
        const database = this.get(databaseId);
        const atMs = this.options.nowMs() + openMs;
        if (!database.acceptsConnections) {
            this.options.postAt(
                atMs,
                { kind: BackendKind.OpenFailed, linkId, databaseId, reason: "refused" } as Message,
            );
            return;
        }
        this.links.set(linkId, {
            databaseId,
            transaction: undefined,
            busy: false,
            unresponsive: false,
            closesAfterNext: false,
        });
        const open = [...this.links.values()].filter(link => link.databaseId === databaseId).length;
        database.maximumLinks = Math.max(database.maximumLinks, open);
        this.options.postAt(atMs, { kind: BackendKind.Opened, linkId, databaseId } as Message);
    }

    private closeLink(linkId: string, reason: string): void {
        const link = this.links.get(linkId);
        if (link !== undefined) {
            this.links.delete(linkId);
            this.get(link.databaseId).running -= link.busy ? 1 : 0;
            this.options.postAt(this.options.nowMs(), { kind: BackendKind.Closed, linkId, reason } as Message);
        }
    }

    private startOperation(message: BackendMessage): void {
        const link = this.links.get(message.linkId);
        if (link === undefined) {
            return;
        }
        if (link.busy) {
            this.violations.push(`${message.linkId} got ${message.kind} before its last answer`);
        }
        const database = this.get(link.databaseId);
        const usesSlot = message.kind === BackendKind.Execute;
        if (usesSlot) {
            this.onExecute(message.text, this.options.nowMs());
        }
        link.busy = usesSlot;
        database.running += usesSlot ? 1 : 0;
        database.maximumRunning = Math.max(database.maximumRunning, database.running);
        const atMs = this.options.nowMs() + (usesSlot ? database.serviceMs : 0.2);
        this.options.postAt(atMs, { kind: "fake.answer", ...{ message } } as Message);
    }

    /** Runs a statement whose service time has passed; undefined when its connection ended or is silent. */
    completeOperation(message: BackendMessage): Message | undefined {
        const link = this.links.get(message.linkId);
        if (link === undefined || link.unresponsive) {
            return undefined;
        }
        const { linkId, executionId } = message;
        const database = this.get(link.databaseId);
        const { role } = database;
        if (message.kind === BackendKind.ReadPosition) {
            const position = { term: database.term, offset: database.log.length };
            return { kind: BackendKind.PositionRead, linkId, executionId, role, position } as Message;
        }
        if (message.kind !== BackendKind.Execute) {
            database.role = message.kind === BackendKind.Promote ? DatabaseRole.Primary : DatabaseRole.Replica;
            return { kind: BackendKind.Ordered, linkId, executionId, failure: undefined } as Message;
        }
        link.busy = false;
        database.running--;
        this.executedTexts.push(message.text);
        const outcome = this.run(database, link, message.text);
        if (link.closesAfterNext) {
            this.closeLink(linkId, "cut after the statement ran");
            return undefined;
        }
        const inTransaction = link.transaction !== undefined;
        return { kind: BackendKind.Result, linkId, executionId, outcome, inTransaction } as Message;
    }

    private run(database: FakeDatabase, link: FakeLink, text: string): Outcome {
        const keyword = text.split(" ")[0]!.toUpperCase();
        if (keyword === "SELECT") {
            return this.select(database, link, text);
        }
        if (keyword === "BEGIN") {
            link.transaction = [];
        }
        else if (keyword === "ROLLBACK") {
            link.transaction = undefined;
        }
        else if (keyword === "COMMIT") {
            database.log.push({ texts: link.transaction ?? [] });
            link.transaction = undefined;
        }
        else if (keyword === "FAIL") {
            return failedOutcome(1064);
        }
        else if (isRecordInsert(text) && this.hasRecord(database, recordIdOf(text))) {
            return failedOutcome(1062);
        }
        else if (isRecordInsert(text) && this.isRecordLocked(recordIdOf(text))) {
            return failedOutcome(1205);
        }
        else if (link.transaction !== undefined) {
            link.transaction.push(text);
        }
        else if (keyword !== "SET" && keyword !== "CREATE") {
            database.log.push({ texts: [text] });
            this.autocommitted.push(text);
        }
        return { kind: OutcomeKind.Done, affectedRows: 1, insertId: 0 };
    }

    private select(database: FakeDatabase, link: FakeLink, text: string): Outcome {
        const columns = [{ name: "value", type: 253, characterSet: 45, flags: 0 }];
        if (text.includes("jasmineline_requests")) {
            const found = this.hasRecord(database, recordIdOf(text));
            return { kind: OutcomeKind.Rows, columns, rows: found ? [["1", "0"]] : [] };
        }
        // A read answers with itself and with what it saw, so that a spec recognises a wrong or stale answer.
        return {
            kind: OutcomeKind.Rows,
            columns,
            rows: [[text, String(database.log.length), link.transaction?.join()]],
        };
    }

    private hasRecord(database: FakeDatabase, id: string): boolean {
        return database.log.some(commit => commit.texts.some(text => isRecordInsert(text) && recordIdOf(text) === id));
    }

    /** Another open transaction has inserted the record; a database would wait for it and then report this. */
    private isRecordLocked(id: string): boolean {
        return [...this.links.values()].some(link =>
            link.transaction?.some(text => isRecordInsert(text) && recordIdOf(text) === id) ?? false
        );
    }
}

function isRecordInsert(text: string): boolean {
    return text.startsWith("INSERT INTO jasmineline_requests");
}

/** The quoted request id, which is the second quoted value of both statements. */
function recordIdOf(text: string): string {
    return text.split("'")[3]!;
}

function failedOutcome(databaseErrno: number): Outcome {
    return { kind: OutcomeKind.Refused, refusal: refuse(RefusalCode.DatabaseFailed, "execute", { databaseErrno }) };
}
