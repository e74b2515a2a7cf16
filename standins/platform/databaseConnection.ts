/** One connection to a database: the order of its statements, and what they leave behind on it. */
import type { Socket } from "node:net";
import type { AnswerFaults } from "./answerFaults.ts";
import { ChunkWriter } from "./chunkWriter.ts";
import type { OddTexts } from "./oddTexts.ts";
import { parseReceived, type ReceivedStatement } from "./statementText.ts";
import { encodeMessage, MessageKind, MessageReader, show, type WireMessage } from "./wireMessages.ts";

/** Who connects without a tenant. */
const controlCaller = "-";

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

/** What a database answers before READY. */
export type DatabaseAnswer =
    | { readonly rows: readonly string[]; readonly signature: string; }
    /** The code of the error. */
    | { readonly error: string; };

export interface StatementHandler {
    readonly id: string;
    /** What is cut of a connection of the control members, or of a proxy. */
    cutOf(isControl: boolean): ConnectionCut;
    /** Returns the code of the error that refuses the connection, or undefined. */
    accept(service: string, expectedId: string | undefined): string | undefined;
    run(connection: DatabaseConnection, statement: ReceivedStatement): Promise<DatabaseAnswer>;
    position(): string;
    /** The far end does not keep to the protocol. */
    violated(text: string): void;
}

export class DatabaseConnection {
    readonly values = new Map<string, string>();
    /** VERB SHAPE of each prepared name. */
    readonly shapes = new Map<string, string>();
    state: ConnectionState = "I";
    transaction: OpenTransaction | undefined;
    /** A control member has opened it; known once it has said who it is. */
    isControl = false;
    private readonly socket: Socket;
    private readonly handler: StatementHandler;
    private readonly faults: AnswerFaults;
    private readonly writer: ChunkWriter;
    private readonly reader = new MessageReader();
    private readonly waiting: WireMessage[] = [];
    private heldAnswers: Buffer[] = [];
    private holdsAnswers = false;
    private isAccepted = false;
    private isRunning = false;

    /** @param texts cuts the answers into chunks */
    constructor(socket: Socket, handler: StatementHandler, faults: AnswerFaults, texts?: OddTexts) {
        this.socket = socket;
        this.handler = handler;
        this.faults = faults;
        this.writer = new ChunkWriter(socket, texts);
        // The end of a connection is reported by "close".
        socket.on("error", () => undefined);
        socket.on("data", (chunk: Buffer) => this.read(chunk));
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

    /** Passes nothing in the directions that are cut, and in the others also what waited. */
    cut({ statements, answers }: ConnectionCut): void {
        this.holdsAnswers = answers;
        if (statements) {
            this.socket.pause();
        }
        else {
            this.socket.resume();
        }
        const held = answers ? [] : this.heldAnswers.splice(0);
        held.forEach(answer => this.write(answer));
    }

    private read(chunk: Buffer): void {
        try {
            for (const message of this.reader.read(chunk)) {
                this.waiting.push(message);
            }
        }
        catch (error) {
            this.handler.violated((error as Error).message);
            this.close();
        }
        void this.runWaiting();
    }

    private async runWaiting(): Promise<void> {
        if (this.isRunning) {
            return;
        }
        this.isRunning = true;
        while (this.waiting.length > 0 && this.socket.writable) {
            await this.receive(this.waiting.shift()!);
        }
        this.isRunning = false;
    }

    private async receive({ kind, fields }: WireMessage): Promise<void> {
        if (kind === MessageKind.Quit) {
            this.socket.end();
        }
        else if (!this.isAccepted) {
            this.accept(kind, fields);
        }
        else {
            const [id, text] = fields;
            const statement = kind === MessageKind.Query && text !== undefined ? parseReceived(id!, text) : undefined;
            if (statement === undefined) {
                this.handler.violated(`not a statement: ${kind} ${show(fields.join(" "))}`);
                this.fail();
            }
            this.send(statement === undefined ? { error: "MALFORMED" } : await this.handler.run(this, statement));
        }
    }

    private accept(kind: MessageKind, [service, caller, expectedId]: readonly string[]): void {
        this.isControl = caller === controlCaller;
        this.cut(this.handler.cutOf(this.isControl));
        if (kind !== MessageKind.Connect || service === undefined) {
            this.handler.violated(`${kind} before CONNECT`);
        }
        const error = kind === MessageKind.Connect && service !== undefined
            ? this.handler.accept(service, expectedId)
            : "MALFORMED";
        this.isAccepted = error === undefined;
        if (error === undefined) {
            this.send(undefined);
        }
        else {
            this.socket.end(encodeMessage(MessageKind.Error, error, this.handler.id));
        }
    }

    private send(answer: DatabaseAnswer | undefined): void {
        const { id } = this.handler;
        const position = this.handler.position();
        const messages = answer === undefined
            ? []
            : "error" in answer
            ? [encodeMessage(MessageKind.Error, answer.error, id)]
            : [
                ...answer.rows.map(row => encodeMessage(MessageKind.Row, row)),
                encodeMessage(MessageKind.Complete, answer.signature),
            ];
        const bytes = Buffer.concat([...messages, encodeMessage(MessageKind.Ready, this.state, position)]);
        this.write(bytes);
        const repeatDelayMs = this.faults.nextRepeatDelayMs();
        if (repeatDelayMs !== undefined) {
            setTimeout(() => this.write(bytes), repeatDelayMs).unref();
        }
    }

    private write(answer: Buffer): void {
        if (this.holdsAnswers) {
            this.heldAnswers.push(answer);
        }
        else {
            this.writer.write(answer);
        }
    }
}
