/** Clients that ask one operation after the other: single statements, prepared ones and transactions. */
import { setTimeout as delay } from "node:timers/promises";
import { SeededRandom } from "../../src/pipeline/seededRandom.ts";
import type { RouteKind } from "./acknowledgedCommits.ts";
import { type ClientAddress, type ClientAnswer, ClientSession } from "./clientSession.ts";
import { OddTexts } from "./oddTexts.ts";
import type { Operation, RuleChecker } from "./ruleChecker.ts";
import { lastFieldRoom, MessageKind } from "./wireMessages.ts";

/** Upper limits of the pauses between operations and between the statements of a transaction. */
const maximumPauseMs = 40;
const maximumStatementPauseMs = 10;

/** Pause after a proxy did not accept a session. */
const reconnectPauseMs = 100;

/** Digits of the id of an operation, and of the number behind it that makes the id of a statement. */
const operationDigits = 12;
const statementDigits = 4;

const maximumTextBytes = lastFieldRoom(MessageKind.Query, "0".repeat(operationDigits + statementDigits));

/** Values and shapes are few beside the other texts, and more of them are odd. */
const setupWeight = 4;

/** Operations of all loads of this process, whose ids must differ. */
let operationCount = 0;

export interface Route {
    /** Name of the database that clients connect to. */
    readonly database: string;
    readonly kind: RouteKind;
}

export interface ClientLoadOptions {
    readonly seed: number;
    /** Share of the texts that are odd, from 0 to 1. */
    readonly oddShare: number;
    readonly sessions: number;
    readonly routes: readonly Route[];
    /** Port at which all proxies accept clients. */
    readonly port: number;
    /** Addresses of the proxies that take new sessions. */
    readonly proxies: () => readonly string[];
    readonly key: string;
    readonly checker: RuleChecker;
}

/** Writes on a new session; returns `served` or the code of the error. */
export async function writeOnce(address: ClientAddress, kind: RouteKind, checker: RuleChecker): Promise<string> {
    using session = await ClientSession.open(address, { onViolation: text => checker.violated(text) });
    if (session === undefined) {
        await delay(reconnectPauseMs);
        return "not connected";
    }
    const [operationId, id] = [nextOperationId(), nextOperationId()];
    const operation = { id: operationId, session, kind, isTransaction: false, startedAtMs: performance.now() };
    checker.ask(id, operation, "WRITE 1 last");
    const answer = await session.query(id, "WRITE 1 last");
    checker.answered(id, answer, [id]);
    return answer.error ?? "served";
}

export class ClientLoad {
    private readonly options: ClientLoadOptions;
    private readonly clients: readonly Promise<void>[];
    private readonly texts: OddTexts[] = [];
    private isOver = false;

    constructor(options: ClientLoadOptions) {
        this.options = options;
        this.clients = Array.from({ length: options.sessions }, (_, index) => this.runClient(index));
    }

    /** Number of odd texts that were asked. */
    get oddCount(): number {
        return this.texts.reduce((sum, { count }) => sum + count, 0);
    }

    /** Lets the operations under way end. */
    async stop(): Promise<void> {
        this.isOver = true;
        await Promise.all(this.clients);
    }

    private async runClient(index: number): Promise<void> {
        const { seed, oddShare, routes, port, key, checker } = this.options;
        const random = new SeededRandom(seed * 1_000 + index);
        const texts = new OddTexts({ seed: seed * 1_000 + index, share: oddShare });
        this.texts.push(texts);
        const { database, kind } = routes[index % routes.length]!;
        const onViolation = (text: string): void => checker.violated(text);
        while (!this.isOver) {
            const proxies = this.options.proxies();
            const host = proxies[random.nextInteger(Math.max(1, proxies.length))];
            using session = host === undefined
                ? undefined
                : await ClientSession.open({ host, port, database, key }, { onViolation, texts });
            const client = session === undefined
                ? undefined
                : new Client(session, { kind, random, texts, checker });
            // A client keeps its session as long as it is open and in order.
            while (!this.isOver && await client?.runNext(nextOperationId())) {
                await delay(random.nextFloat() * maximumPauseMs);
            }
            if (!this.isOver && session?.isOpen !== true) {
                await delay(reconnectPauseMs);
            }
        }
    }
}

interface ClientOptions {
    readonly kind: RouteKind;
    readonly random: SeededRandom;
    readonly texts: OddTexts;
    readonly checker: RuleChecker;
}

class Client {
    private readonly session: ClientSession;
    private readonly kind: RouteKind;
    private readonly random: SeededRandom;
    private readonly texts: OddTexts;
    private readonly checker: RuleChecker;
    private statementCount = 0;
    private operation!: Operation;

    constructor(session: ClientSession, { kind, random, texts, checker }: ClientOptions) {
        this.session = session;
        this.kind = kind;
        this.random = random;
        this.texts = texts;
        this.checker = checker;
    }

    /** Runs an operation; returns whether the session is in order after it. */
    async runNext(id: string): Promise<boolean> {
        const draw = this.random.nextInteger(100);
        const isTransaction = draw >= 62;
        const startedAtMs = performance.now();
        this.operation = { id, session: this.session, kind: this.kind, isTransaction, startedAtMs };
        this.statementCount = 0;
        if (!this.session.isOpen) {
            return false;
        }
        if (draw < 6) {
            return this.changeValue();
        }
        if (draw < 12) {
            return this.changeShape();
        }
        if (draw < 62) {
            const { state, error } = await this.readOrWrite(draw % 3 === 0 ? "WRITE" : "READ");
            return state === "I" && error !== "MALFORMED";
        }
        return draw < 72
            ? this.runTransaction("BEGIN READ", ["READ"])
            : this.runTransaction("BEGIN", ["READ", "WRITE"]);
    }

    private async changeValue(): Promise<boolean> {
        const start = `SET v${this.random.nextInteger(3)} `;
        const usualValue = String(this.random.nextInteger(1_000));
        const value = this.texts.replace(usualValue, maximumTextBytes - start.length, setupWeight);
        const name = start.split(" ")[1]!;
        const { error } = await this.ask(`${start}${value}`);
        if (error === undefined) {
            this.session.values.set(name, value);
        }
        return error === undefined;
    }

    private async changeShape(): Promise<boolean> {
        const name = `s${this.random.nextInteger(3)}`;
        const isNew = !this.session.shapes.has(name);
        const access = this.random.nextInteger(2) === 0 ? "READ" : "WRITE";
        const usualShape = `q${this.random.nextInteger(1_000)}`;
        if (!isNew) {
            const { error } = await this.ask(`DEALLOC ${name}`);
            if (error === undefined) {
                this.session.shapes.delete(name);
            }
            return error === undefined;
        }
        const start = `PREPARE ${name} ${access} `;
        const shape = this.texts.extend(usualShape, maximumTextBytes - start.length, setupWeight);
        const { error } = await this.ask(`${start}${shape}`);
        if (error === undefined) {
            this.session.shapes.set(name, `${access} ${shape}`);
        }
        return error === undefined;
    }

    private async runTransaction(begin: string, verbs: readonly string[]): Promise<boolean> {
        let answer = await this.ask(begin);
        const writes: string[] = [];
        const count = 1 + this.random.nextInteger(5);
        for (let index = 0; index < count && answer.error === undefined; index++) {
            await delay(this.random.nextFloat() * maximumStatementPauseMs);
            answer = await this.readOrWrite(verbs[this.random.nextInteger(verbs.length)]!, writes);
        }
        if (answer.error === undefined) {
            const end = this.random.nextInteger(20);
            if (end === 0) {
                return false;
            }
            answer = end < 4 ? await this.ask("ROLLBACK") : await this.ask("COMMIT", writes);
        }
        else if (answer.state === "E" || answer.state === "T") {
            answer = await this.ask("ROLLBACK");
        }
        return answer.state === "I";
    }

    /** Sends a read or a write, prepared if the session has prepared one of that kind. */
    private async readOrWrite(verb: string, transactionWrites?: string[]): Promise<ClientAnswer> {
        const item = this.random.nextInteger(1_000).toString(16);
        const data = verb === "WRITE" ? this.random.nextInteger(1e9).toString(36) : undefined;
        const prepared = [...this.session.shapes].find(([, shape]) => shape.startsWith(`${verb} `))?.[0];
        const isPrepared = prepared !== undefined && this.random.nextInteger(2) === 0;
        const start = isPrepared ? `EXECUTE ${prepared} ` : `${verb} `;
        const room = maximumTextBytes - start.length;
        const operands = data === undefined
            ? this.texts.extend(item, room)
            : `${item} ${this.texts.replace(data, room - item.length - 1)}`;
        const id = this.nextId();
        if (verb === "WRITE") {
            transactionWrites?.push(id);
        }
        const writes = verb === "WRITE" && transactionWrites === undefined ? [id] : [];
        return this.ask(`${start}${operands}`, writes, id);
    }

    private async ask(text: string, writes: readonly string[] = [], id = this.nextId()): Promise<ClientAnswer> {
        this.checker.ask(id, this.operation, text);
        const answer = await this.session.query(id, text);
        this.checker.answered(id, answer, writes);
        return answer;
    }

    private nextId(): string {
        this.statementCount += 1;
        return `${this.operation.id}${this.statementCount.toString(16).padStart(statementDigits, "0")}`;
    }
}

function nextOperationId(): string {
    operationCount += 1;
    return operationCount.toString(16).padStart(operationDigits, "0");
}
