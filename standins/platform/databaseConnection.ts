/** One connection to a database: the order of its statements, and what they leave behind on it. */
import type { Socket } from "node:net";
import { LineReader, splitWords, wireEncoding } from "../../src/platform/wireLines.ts";
import type { AnswerFaults } from "./answerFaults.ts";

/** `I` without a transaction, `T` in one, `E` in one that failed. */
export type ConnectionState = "I" | "T" | "E";

export interface OpenTransaction {
    readonly isReadOnly: boolean;
    /** Ids of the statements that have written in it. */
    readonly writes: string[];
    /** The first client operation that used it; undefined before one did. */
    owner: string | undefined;
}

/** Directions in which a connection passes nothing, although it is open. */
export interface ConnectionCut {
    readonly statements: boolean;
    readonly answers: boolean;
}

/** A statement as it arrived. */
export interface ReceivedStatement {
    /** `-` for statements of the proxy itself. */
    readonly id: string;
    /** Position that the log must have reached. */
    readonly after: string | undefined;
    /** Without the position. */
    readonly text: string;
}

export interface StatementHandler {
    /** Returns the error that refuses the connection, or undefined. */
    accept(service: string, expectedId: string | undefined): string | undefined;
    /** Returns the lines of the answer before READY, joined. */
    run(connection: DatabaseConnection, statement: ReceivedStatement): Promise<string>;
    position(): string;
}

export class DatabaseConnection {
    readonly values = new Map<string, string>();
    /** VERB SHAPE of each prepared name. */
    readonly shapes = new Map<string, string>();
    state: ConnectionState = "I";
    transaction: OpenTransaction | undefined;
    private readonly socket: Socket;
    private readonly handler: StatementHandler;
    private readonly faults: AnswerFaults;
    private readonly reader = new LineReader();
    private readonly waiting: string[] = [];
    private heldAnswers: string[] = [];
    private holdsAnswers = false;
    private isAccepted = false;
    private isRunning = false;

    constructor(socket: Socket, handler: StatementHandler, faults: AnswerFaults) {
        this.socket = socket;
        this.handler = handler;
        this.faults = faults;
        // The end of a connection is reported by "close".
        socket.on("error", () => undefined);
        socket.on("data", (chunk: Buffer) => {
            this.waiting.push(...this.reader.push(chunk));
            void this.runWaiting();
        });
    }

    begin(isReadOnly: boolean): void {
        this.state = "T";
        this.transaction = { isReadOnly, writes: [], owner: undefined };
    }

    /** Ends the transaction and returns it. */
    end(): OpenTransaction | undefined {
        const ended = this.transaction;
        this.state = "I";
        this.transaction = undefined;
        return ended;
    }

    /** A transaction in which a statement failed can only be rolled back. */
    fail(): void {
        this.state = this.transaction === undefined ? "I" : "E";
    }

    close(): void {
        this.socket.destroy();
    }

    cut({ statements, answers }: ConnectionCut): void {
        this.holdsAnswers = answers;
        if (statements) {
            this.socket.pause();
        }
    }

    /** Passes everything again, also what waited. */
    heal(): void {
        this.holdsAnswers = false;
        this.socket.resume();
        const held = this.heldAnswers;
        this.heldAnswers = [];
        held.forEach(answer => this.write(answer));
    }

    private async runWaiting(): Promise<void> {
        if (this.isRunning) {
            return;
        }
        this.isRunning = true;
        while (this.waiting.length > 0 && !this.socket.destroyed) {
            await this.receive(this.waiting.shift()!);
        }
        this.isRunning = false;
    }

    private async receive(line: string): Promise<void> {
        const [word, first, rest] = splitWords(line, 2) as [string, string, string];
        if (!this.isAccepted) {
            const error = word === "CONNECT"
                ? this.handler.accept(first, rest.split(" ")[1])
                : "MALFORMED no CONNECT";
            this.isAccepted = error === undefined;
            if (error !== undefined) {
                this.socket.end(`ERROR ${error}\r\n`, wireEncoding);
                return;
            }
            this.send("");
        }
        else if (word === "QUIT") {
            this.socket.end();
        }
        else {
            const [prefix, position, text] = splitWords(rest, 2) as [string, string, string];
            const isConditional = prefix === "AFTER";
            const after = isConditional ? position : undefined;
            this.send(await this.handler.run(this, { id: first, after, text: isConditional ? text : rest }));
        }
    }

    private send(lines: string): void {
        const ready = `READY ${this.state} ${this.handler.position()}\r\n`;
        const answer = lines === "" ? ready : `${lines}\r\n${ready}`;
        this.write(answer);
        const repeatDelayMs = this.faults.nextRepeatDelayMs();
        if (repeatDelayMs !== undefined) {
            setTimeout(() => this.write(answer), repeatDelayMs).unref();
        }
    }

    private write(text: string): void {
        if (this.holdsAnswers) {
            this.heldAnswers.push(text);
        }
        else if (this.socket.writable) {
            this.socket.write(text, wireEncoding);
        }
    }
}
