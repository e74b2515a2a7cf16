/** Server side of the wire protocol, towards callers: one connection is one session. */
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import {
    MessageDefect,
    type SessionAccept,
    type SessionAnswer,
    type SessionAnswerRefused,
    type SessionClose,
    type SessionClosed,
    SessionKind,
    type SessionMessageRefused,
    type SessionOpened,
    type SessionRefuse,
    type SessionRequested,
} from "../model/sessionMessages.ts";
import type { Message } from "../pipeline/message.ts";
import type { Sink } from "../pipeline/sink.ts";
import { decodeStatement, encodeAnswer, encodeError, proxyId } from "./wireCodec.ts";
import { LineReader, splitWords, wireEncoding } from "./wireLines.ts";
import { maximumNameBytes } from "./wireNames.ts";

/** Time within which a new connection must send CONNECT; callers send it immediately. */
const openingTimeoutMs = 5_000;

/** The connection of a caller that has not read this much of the answers before is closed. */
const maximumUnsentBytes = 4 * 1_048_576;

/** Time for the last answers to reach callers at shutdown; part of the margin reserved before the process is killed. */
const closingTimeoutMs = 150;

type Input = SessionAccept | SessionRefuse | SessionAnswer | SessionClose;

export interface WireServerOptions {
    readonly host: string;
    readonly port: number;
    readonly post: (message: Message) => void;
}

interface Connection {
    readonly socket: Socket;
    readonly reader: LineReader;
    opened: boolean;
}

export class WireServer implements Sink<Input>, AsyncDisposable {
    readonly accepts = [SessionKind.Accept, SessionKind.Refuse, SessionKind.Answer, SessionKind.Close];
    private readonly options: WireServerOptions;
    private readonly server: Server;
    private readonly connections = new Map<string, Connection>();
    /** All open sockets, including those of closed sessions. */
    private readonly sockets = new Set<Socket>();
    private nextSessionNumber = 0;
    /** Resolves when the listener and all connections are closed; undefined while callers may connect. */
    private closed: Promise<void> | undefined;

    constructor(options: WireServerOptions) {
        this.options = options;
        this.server = createServer({ noDelay: true }, socket => this.handleConnection(socket));
    }

    get connectionCount(): number {
        return this.connections.size;
    }

    get port(): number {
        return (this.server.address() as AddressInfo).port;
    }

    listen(): Promise<void> {
        const { host, port } = this.options;
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen({ host, port, backlog: 511 }, resolve);
        });
    }

    deliver(message: Input): void {
        const connection = this.connections.get(message.sessionId);
        if (connection === undefined) {
            return;
        }
        switch (message.kind) {
            case SessionKind.Accept:
                return this.write(connection, `READY I ${proxyId}\r\n`);
            case SessionKind.Answer:
                return this.answer(connection, message);
            case SessionKind.Refuse:
                connection.socket.end(encodeError(message.fault, message.detail), wireEncoding);
                return this.removeConnection(message.sessionId);
            case SessionKind.Close:
                connection.socket.end();
                return this.removeConnection(message.sessionId);
        }
    }

    /**
     * Stops listening, and waits until the connections have ended. Meanwhile, the event loop must answer those that have
     * just been accepted.
     * @param limitMs maximum of the wait
     */
    async stopAccepting(limitMs: number): Promise<void> {
        await Promise.race([this.closeListener(), delay(limitMs, undefined, { ref: false })]);
    }

    async [Symbol.asyncDispose](): Promise<void> {
        const closed = this.closeListener();
        this.connections.forEach(({ socket }) => socket.end());
        this.connections.clear();
        const timer = setTimeout(() => this.sockets.forEach(socket => socket.destroy()), closingTimeoutMs);
        await closed;
        clearTimeout(timer);
    }

    private closeListener(): Promise<void> {
        return this.closed ??= new Promise<void>(resolve => this.server.close(() => resolve()));
    }

    private handleConnection(socket: Socket): void {
        const sessionId = `s${this.nextSessionNumber++}`;
        const connection = { socket, reader: new LineReader(), opened: false };
        this.connections.set(sessionId, connection);
        this.sockets.add(socket);
        socket.once("close", () => this.sockets.delete(socket));
        socket.setTimeout(openingTimeoutMs, () => this.endConnection(sessionId));
        socket.on("data", chunk => this.receive(sessionId, connection, chunk));
        socket.on("error", () => this.endConnection(sessionId));
        socket.on("close", () => this.endConnection(sessionId));
    }

    private receive(sessionId: string, connection: Connection, chunk: Buffer): void {
        let lines: readonly string[];
        const { reader } = connection;
        const receivedBytes = reader.pendingBytes + chunk.length;
        try {
            lines = reader.push(chunk);
        }
        catch {
            // The reader throws only if a line exceeds the limit; the lines after it cannot be delimited reliably.
            this.reportRefused(sessionId, MessageDefect.TooLong, receivedBytes);
            this.endConnection(sessionId);
            return;
        }
        for (const line of lines) {
            if (this.connections.get(sessionId) === connection) {
                this.receiveLine(sessionId, connection, line);
            }
        }
    }

    private receiveLine(sessionId: string, connection: Connection, line: string): void {
        const [keyword, first, rest] = splitWords(line, 2) as [string, string, string];
        if (keyword === "QUIT") {
            this.endConnection(sessionId);
        }
        else if (keyword === "CONNECT" && !connection.opened) {
            this.openSession(sessionId, connection, line);
        }
        else if (connection.opened) {
            const isQuery = keyword === "QUERY";
            const statement = isQuery ? decodeStatement(first, rest) : undefined;
            if (statement === undefined) {
                const defect = isQuery ? MessageDefect.InvalidStatement : MessageDefect.UnknownKind;
                this.reportRefused(sessionId, defect, line.length);
            }
            const message: SessionRequested = { kind: SessionKind.Requested, sessionId, statement };
            this.options.post(message);
        }
        else {
            this.reportRefused(sessionId, MessageDefect.NotConnected, line.length);
            this.endConnection(sessionId);
        }
    }

    private openSession(sessionId: string, connection: Connection, line: string): void {
        const [, database, key] = splitWords(line, 2) as [string, string, string];
        connection.opened = true;
        connection.socket.setTimeout(0);
        const message: SessionOpened = {
            kind: SessionKind.Opened,
            sessionId,
            database: keptName(database),
            key: keptName(key),
        };
        this.options.post(message);
    }

    private answer(connection: Connection, { sessionId, answer }: SessionAnswer): void {
        let text: string;
        try {
            text = encodeAnswer(answer);
        }
        catch (error) {
            // The database's answer cannot be told to the caller, and no other answer would be true.
            const { message } = error as RangeError;
            this.options.post({ kind: SessionKind.AnswerRefused, sessionId, reason: message } as SessionAnswerRefused);
            this.endConnection(sessionId);
            return;
        }
        this.write(connection, text);
    }

    private reportRefused(sessionId: string, defect: MessageDefect, bytes: number): void {
        const refused: SessionMessageRefused = { kind: SessionKind.MessageRefused, sessionId, defect, bytes };
        this.options.post(refused);
    }

    private write({ socket }: Connection, text: string): void {
        if (socket.writableLength > maximumUnsentBytes) {
            socket.destroy();
            return;
        }
        socket.write(text, wireEncoding);
    }

    private endConnection(sessionId: string): void {
        const connection = this.connections.get(sessionId);
        if (connection === undefined) {
            return;
        }
        this.removeConnection(sessionId);
        connection.socket.destroy();
        if (connection.opened) {
            this.options.post({ kind: SessionKind.Closed, sessionId } as SessionClosed);
        }
    }

    private removeConnection(sessionId: string): void {
        this.connections.delete(sessionId);
    }
}

/** Cuts off what exceeds the longest name of a configuration, because a session keeps its names; it stays unknown. */
function keptName(name: string): string {
    return name.slice(0, maximumNameBytes + 1);
}
