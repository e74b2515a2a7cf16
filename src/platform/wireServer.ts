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
    type SessionEnding,
    SessionKind,
    type SessionMessageRefused,
    type SessionOpened,
    type SessionRefuse,
    type SessionRequested,
} from "../model/sessionMessages.ts";
import { StatementFault } from "../model/sessionStatement.ts";
import type { Message } from "../pipeline/message.ts";
import type { Sink } from "../pipeline/sink.ts";
import { decodeStatement, encodeAnswer, encodeError, encodeReady, proxyId } from "./wireCodec.ts";
import { LineReader, splitWords, wireEncoding } from "./wireLines.ts";
import { maximumNameBytes } from "./wireNames.ts";
import { defaultWireServerLimits, type WireServerLimits } from "./wireServerLimits.ts";

/** The connection of a caller that has not read this much of the answers before is closed. */
const maximumUnsentBytes = 4 * 1_048_576;

/** Time for the last answers to reach callers at shutdown; part of the margin reserved before the process is killed. */
const closingTimeoutMs = 150;

type Input = SessionAccept | SessionRefuse | SessionAnswer | SessionEnding | SessionClose;

export interface WireServerOptions {
    readonly host: string;
    readonly port: number;
    readonly post: (message: Message) => void;
    readonly limits?: WireServerLimits;
}

interface Connection {
    readonly socket: Socket;
    readonly reader: LineReader;
    opened: boolean;
    /**
     * Answer to each request that crosses the ERROR with which the caller was told the end: it takes the ERROR before for
     * the outcome, and the one in this answer tells it the end again. Undefined while the session goes on.
     */
    crossingAnswer: string | undefined;
    /** Incomplete message in the account of the server. */
    incompleteBytes: number;
    /** Ends the connection unless CONNECT or the message that has begun is complete in time. */
    timer: NodeJS.Timeout | undefined;
}

export class WireServer implements Sink<Input>, AsyncDisposable {
    readonly accepts = [
        SessionKind.Accept,
        SessionKind.Refuse,
        SessionKind.Answer,
        SessionKind.Ending,
        SessionKind.Close,
    ];
    private readonly options: WireServerOptions;
    private readonly limits: WireServerLimits;
    private readonly server: Server;
    private readonly connections = new Map<string, Connection>();
    /** All open sockets, including those of closed sessions. */
    private readonly sockets = new Set<Socket>();
    /** Connections that have not sent CONNECT, the oldest one first. */
    private readonly unopenedIds = new Set<string>();
    /** Sockets that were ended and that the caller has not closed, the oldest one first. */
    private readonly endedSockets = new Set<Socket>();
    private incompleteBytes = 0;
    private receivedAfterEndBytes = 0;
    private crossedRequests = 0;
    private nextSessionNumber = 0;
    /** Resolves when the listener and all connections are closed; undefined while callers may connect. */
    private closed: Promise<void> | undefined;

    constructor(options: WireServerOptions) {
        this.options = options;
        this.limits = options.limits ?? defaultWireServerLimits;
        this.server = createServer({ noDelay: true }, socket => this.handleConnection(socket));
    }

    get connectionCount(): number {
        return this.connections.size;
    }

    /** Requests that were refused because they crossed the end of their session. */
    get crossedCount(): number {
        return this.crossedRequests;
    }

    /** Bytes that were received on connections that this process had ended. */
    get discardedBytes(): number {
        return this.receivedAfterEndBytes;
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
                this.removeConnection(message.sessionId);
                return this.endSocket(connection.socket, encodeError(message.fault, message.detail));
            case SessionKind.Ending:
                return this.tellEnd(connection, message);
            case SessionKind.Close:
                this.removeConnection(message.sessionId);
                return this.endSocket(connection.socket, "");
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
        for (const [sessionId, { socket, crossingAnswer }] of this.connections) {
            if (crossingAnswer === undefined) {
                this.removeConnection(sessionId);
                socket.end();
            }
        }
        // Callers that were told the end close their connections; what they have sent is answered until then.
        const timer = setTimeout(() => this.sockets.forEach(socket => socket.destroy()), closingTimeoutMs);
        await closed;
        clearTimeout(timer);
    }

    private closeListener(): Promise<void> {
        return this.closed ??= new Promise<void>(resolve => this.server.close(() => resolve()));
    }

    private handleConnection(socket: Socket): void {
        const sessionId = `s${this.nextSessionNumber++}`;
        this.sockets.add(socket);
        socket.on("error", () => this.endConnection(sessionId));
        socket.once("close", () => {
            this.sockets.delete(socket);
            this.endedSockets.delete(socket);
            this.endConnection(sessionId);
        });
        if (this.connections.size >= this.limits.maximumConnections) {
            this.reportRefused(sessionId, MessageDefect.TooManyConnections, 0);
            this.endSocket(socket, encodeError(StatementFault.Busy, "too many connections"));
            return;
        }
        const connection: Connection = {
            socket,
            reader: new LineReader(),
            opened: false,
            crossingAnswer: undefined,
            incompleteBytes: 0,
            timer: undefined,
        };
        this.connections.set(sessionId, connection);
        this.unopenedIds.add(sessionId);
        this.startTimer(sessionId, connection, this.limits.openingTimeoutMs, MessageDefect.NotOpened);
        socket.on("data", chunk => this.receive(sessionId, connection, chunk));
        if (this.unopenedIds.size > this.limits.maximumUnopened) {
            const [oldestId] = this.unopenedIds as Iterable<string>;
            this.refuseUnopened(oldestId!);
        }
    }

    private refuseUnopened(sessionId: string): void {
        const { socket, reader } = this.connections.get(sessionId)!;
        this.reportRefused(sessionId, MessageDefect.NotOpened, reader.pendingBytes);
        this.removeConnection(sessionId);
        this.endSocket(socket, encodeError(StatementFault.Busy, "too many connections without CONNECT"));
    }

    /** Sends the last text, and reads on: a socket that is closed with unread bytes loses what was sent. */
    private endSocket(socket: Socket, text: string): void {
        socket.end(text, wireEncoding);
        socket.resume();
        this.endedSockets.add(socket);
        if (this.endedSockets.size > this.limits.maximumEnded) {
            this.resetOldestEnded();
        }
    }

    /** Spares sockets whose last answer has not been handed to the system. */
    private resetOldestEnded(): void {
        for (const socket of this.endedSockets) {
            if (socket.writableLength === 0) {
                this.endedSockets.delete(socket);
                socket.destroy();
                return;
            }
        }
    }

    private startTimer(sessionId: string, connection: Connection, limitMs: number, defect: MessageDefect): void {
        const timer = setTimeout(() => {
            // What arrived while the process stood still is read before the end of this turn.
            setImmediate(() => {
                if (connection.timer === timer) {
                    this.refuseIncomplete(sessionId, connection, defect);
                }
            });
        }, limitMs);
        connection.timer = timer;
    }

    private refuseIncomplete(sessionId: string, { reader }: Connection, defect: MessageDefect): void {
        this.reportRefused(sessionId, defect, reader.pendingBytes);
        this.endConnection(sessionId);
    }

    private receive(sessionId: string, connection: Connection, chunk: Buffer): void {
        if (this.connections.get(sessionId) !== connection) {
            this.receivedAfterEndBytes += chunk.length;
            return;
        }
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
        if (this.connections.get(sessionId) === connection) {
            this.accountIncomplete(sessionId, connection, lines.length > 0);
        }
    }

    /** @param isNew whether a message ended in the chunk, so that the incomplete one began in it */
    private accountIncomplete(sessionId: string, connection: Connection, isNew: boolean): void {
        const { pendingBytes } = connection.reader;
        this.incompleteBytes += pendingBytes - connection.incompleteBytes;
        connection.incompleteBytes = pendingBytes;
        if (connection.opened && isNew) {
            stopTimer(connection);
        }
        if (pendingBytes > 0 && connection.timer === undefined) {
            this.startTimer(sessionId, connection, this.limits.messageTimeoutMs, MessageDefect.Incomplete);
        }
        while (this.incompleteBytes > this.limits.incompleteBytes) {
            this.refuseLargest();
        }
    }

    private refuseLargest(): void {
        const [largestId, largest] = [...this.connections].reduce((largest, entry) =>
            entry[1].incompleteBytes > largest[1].incompleteBytes ? entry : largest
        );
        this.refuseIncomplete(largestId, largest, MessageDefect.MemoryExceeded);
    }

    private receiveLine(sessionId: string, connection: Connection, line: string): void {
        const [keyword, first, rest] = splitWords(line, 2) as [string, string, string];
        if (keyword === "QUIT") {
            this.endConnection(sessionId);
        }
        else if (connection.crossingAnswer !== undefined) {
            // Needs no decision, and the event loop may have closed.
            this.refuseCrossing(connection, connection.crossingAnswer);
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
        this.unopenedIds.delete(sessionId);
        stopTimer(connection);
        const message: SessionOpened = {
            kind: SessionKind.Opened,
            sessionId,
            database: keptName(database),
            key: keptName(key),
        };
        this.options.post(message);
    }

    private answer(connection: Connection, { sessionId, answer }: SessionAnswer): void {
        if (connection.crossingAnswer !== undefined) {
            return this.refuseCrossing(connection, connection.crossingAnswer);
        }
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

    /** Is not subject to the limit of unsent bytes, which a large last answer may exceed. */
    private tellEnd(connection: Connection, { fault, detail, transaction }: SessionEnding): void {
        const error = encodeError(fault, detail);
        connection.crossingAnswer = `${encodeReady(transaction, undefined)}${error}`;
        connection.socket.write(error, wireEncoding);
    }

    private refuseCrossing({ socket }: Connection, answer: string): void {
        this.crossedRequests += 1;
        socket.write(answer, wireEncoding);
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
        const connection = this.connections.get(sessionId);
        if (connection !== undefined) {
            stopTimer(connection);
            this.incompleteBytes -= connection.incompleteBytes;
            this.connections.delete(sessionId);
            this.unopenedIds.delete(sessionId);
        }
    }
}

function stopTimer(connection: Connection): void {
    clearTimeout(connection.timer);
    connection.timer = undefined;
}

/** Cuts off what exceeds the longest name of a configuration, because a session keeps its names; it stays unknown. */
function keptName(name: string): string {
    return name.slice(0, maximumNameBytes + 1);
}
