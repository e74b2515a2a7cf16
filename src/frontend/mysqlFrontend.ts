/**
 * The MySQL front end: accepts connections of callers and translates between the MySQL protocol and messages. The
 * request pipe makes all decisions.
 */
import { once } from "node:events";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { setTimeout as setTimeoutPromise } from "node:timers/promises";
import { match } from "ts-pattern";
import {
    type CallerAnswer,
    type CallerDisconnect,
    type CallerDisconnectIdle,
    CallerKind,
    type CallerLogin,
    type CallerLoginResult,
} from "../model/callerMessages.ts";
import { OutcomeKind } from "../model/outcome.ts";
import { describeRefusal, type Refusal, RefusalCode, refusalTable, refuse } from "../model/refusal.ts";
import type { Message } from "../pipeline/message.ts";
import type { Sink } from "../pipeline/sink.ts";
import { CallerText, statementEncoding } from "./callerText.ts";
import { serverCapabilities, serverStatus } from "./capabilities.ts";
import { PacketSizeGuard } from "./packetSizeGuard.ts";
import {
    type AuthenticationCallback,
    type AuthenticationParameters,
    type ServerConnection,
    type ServerError,
    toServerConnection,
} from "./serverConnection.ts";
import { encodeUnaskedError } from "./unaskedError.ts";
import { rowEncoding, toWireText } from "./wireText.ts";
import { writeOutcome } from "./writeOutcome.ts";

export interface MysqlFrontendOptions {
    readonly host: string;
    /** 0 binds any free port. */
    readonly port: number;
    /** Posts an event to the event loop. */
    readonly post: (message: Message) => void;
    readonly serverVersion: string;
    /** Time from the connection to the login. */
    readonly loginLimitMs?: number;
}

type FrontendMessage = CallerLoginResult | CallerAnswer | CallerDisconnect | CallerDisconnectIdle;

interface CallerConnection {
    readonly connection: ServerConnection;
    readonly packetSizes: PacketSizeGuard;
    /** Ends the connection if the caller does not log in. */
    loginTimer: NodeJS.Timeout;
    loginCallback: AuthenticationCallback | undefined;
    /** Defined from the login on. */
    text: CallerText | undefined;
    /** Sequence number of the statement that has no answer yet. */
    inFlightSequence: number | undefined;
    nextSequence: number;
    /** Transaction state after the last answer; the response to a ping reports it. */
    inTransaction: boolean;
    /** Only then may an error be sent that is no answer. */
    loggedIn: boolean;
    /** Why the connection ends after the answer to the statement in flight, or with that to the login. */
    endRefusal: Refusal | undefined;
    closing: boolean;
}

const utf8mb4 = 45;
const protocolVersion = 10;
const resetConnectionCommand = 31;
const defaultLoginLimitMs = 10_000;

/** Time for a login that is on its way when it is decided that the connection ends. */
const lastLoginMs = 1_000;

/** Time for the last answers to reach callers. */
const lastAnswersMs = 250;

/** Largest packet of a caller that has not logged in; client libraries send some hundred bytes. */
const maximumLoginPacketBytes = 65_536;

/** Largest packet afterwards. A longer statement comes in several packets, and none that is accepted is that long. */
const maximumPacketBytes = 0xff_ff_fe;

/** Posts `caller.*` events and delivers answers to callers. */
export class MysqlFrontend implements Sink<FrontendMessage>, AsyncDisposable {
    readonly accepts = [CallerKind.LoginResult, CallerKind.Answer, CallerKind.Disconnect, CallerKind.DisconnectIdle];
    private readonly options: MysqlFrontendOptions;
    private readonly callers = new Map<number, CallerConnection>();
    private server: Server | undefined;
    private nextConnectionId = 1;

    constructor(options: MysqlFrontendOptions) {
        this.options = options;
    }

    /** Starts listening; rejects when the address is in use. */
    async listen(): Promise<void> {
        const server = createServer(socket => this.accept(socket));
        server.listen(this.options.port, this.options.host);
        await once(server, "listening");
        this.server = server;
    }

    /** The bound port; 0 before `listen`. */
    get port(): number {
        return (this.server?.address() as AddressInfo | undefined)?.port ?? 0;
    }

    get connectionCount(): number {
        return this.callers.size;
    }

    deliver(message: FrontendMessage): void {
        if (message.kind === CallerKind.DisconnectIdle) {
            this.disconnectIdle(message);
            return;
        }
        const caller = this.callers.get(message.connectionId);
        if (caller === undefined) {
            return;
        }
        match(message)
            .with({ kind: CallerKind.LoginResult }, result => this.finishLogin(caller, result))
            .with({ kind: CallerKind.Answer }, answer => this.answer(caller, answer))
            .with({ kind: CallerKind.Disconnect }, disconnect => this.disconnect(caller, disconnect))
            .exhaustive();
    }

    /** Stops accepting connections; open connections continue to be served. */
    stopListening(): void {
        this.server?.close();
        this.server = undefined;
    }

    /** Answers the statements in flight, of which nobody here learns whether they ran, and closes all connections. */
    async [Symbol.asyncDispose](): Promise<void> {
        this.stopListening();
        const callers = [...this.callers.values()];
        const closed = callers.map(({ connection }) =>
            new Promise(resolve => connection.stream.once("close", resolve))
        );
        callers.forEach(caller => this.endAtDisposal(caller));
        const limit = new AbortController();
        await Promise.race([
            Promise.all(closed),
            setTimeoutPromise(lastAnswersMs, undefined, { signal: limit.signal }),
        ]);
        limit.abort();
        callers.forEach(({ connection, loginTimer }) => {
            clearTimeout(loginTimer);
            connection.stream.destroy();
        });
        this.callers.clear();
    }

    private endAtDisposal(caller: CallerConnection): void {
        if (caller.inFlightSequence !== undefined) {
            caller.inFlightSequence = undefined;
            this.writeRefusal(caller, refuse(RefusalCode.ConnectionLost, "frontend"));
        }
        this.end(caller, refuse(RefusalCode.ShuttingDown, "frontend"));
    }

    private accept(socket: Socket): void {
        const packetSizes = new PacketSizeGuard(maximumLoginPacketBytes);
        // Registered before mysql2 listens, which collects a packet until it is complete.
        socket.prependListener("data", (chunk: Buffer) => {
            if (!packetSizes.accepts(chunk)) {
                socket.destroy();
            }
        });
        const connection = toServerConnection(socket);
        const connectionId = this.nextConnectionId++;
        const loginLimitMs = this.options.loginLimitMs ?? defaultLoginLimitMs;
        const caller: CallerConnection = {
            connection,
            packetSizes,
            loginTimer: setTimeout(() => connection.stream.destroy(), loginLimitMs),
            loginCallback: undefined,
            text: undefined,
            inFlightSequence: undefined,
            nextSequence: 0,
            inTransaction: false,
            loggedIn: false,
            endRefusal: undefined,
            closing: false,
        };
        this.callers.set(connectionId, caller);
        connection.stream.setNoDelay(true);
        const remoteAddress = connection.stream.remoteAddress ?? "";
        this.options.post({ kind: CallerKind.Connected, connectionId, remoteAddress } as Message);
        this.subscribe(connectionId, caller);
        connection.serverHandshake({
            protocolVersion,
            serverVersion: this.options.serverVersion,
            connectionId,
            statusFlags: serverStatus(false),
            characterSet: utf8mb4,
            capabilityFlags: serverCapabilities,
            authCallback: (parameters, done) => this.login(connectionId, caller, parameters, done),
        });
    }

    private subscribe(connectionId: number, caller: CallerConnection): void {
        const { connection } = caller;
        connection.on("query", (text: string) => this.receiveStatement(connectionId, caller, text));
        connection.on("ping", () => this.writeOk(caller));
        connection.on(
            "init_db",
            () => this.writeRefusal(caller, unsupportedRefusal("changing the service; connect anew")),
        );
        connection.on("stmt_prepare", (text: string) => this.receivePrepare(connectionId, caller, text));
        // mysql2 also emits it for text statements that begin with EXECUTE, which otherwise get no answer.
        connection.on("stmt_execute", () => this.writeRefusal(caller, preparedStatementRefusal));
        connection.on("field_list", () => this.writeRefusal(caller, unsupportedRefusal("COM_FIELD_LIST")));
        connection.on("packet", (_packet: unknown, known: boolean, command: number) => {
            if (!known) {
                this.refuseUnknownCommand(caller, command);
            }
        });
        connection.on("quit", () => connection.stream.end());
        // A disconnect can emit an error first; `close` follows and reports the end of the connection.
        connection.on("error", () => connection.stream.destroy());
        connection.stream.on("close", () => this.handleClose(connectionId));
    }

    /** mysql2 does not respond to commands that it does not implement, so the client would wait indefinitely. */
    private refuseUnknownCommand(caller: CallerConnection, command: number): void {
        const name = command === resetConnectionCommand
            ? "COM_RESET_CONNECTION; open a new connection"
            : `command ${command}`;
        this.writeRefusal(caller, unsupportedRefusal(name));
    }

    /** Handles `stmt_prepare`, which mysql2 also emits for text statements that begin with SET or PREPARE. */
    private receivePrepare(connectionId: number, caller: CallerConnection, text: string): void {
        if (/^\s*SET\s/i.test(text)) {
            this.receiveStatement(connectionId, caller, text);
        }
        else {
            this.writeRefusal(caller, preparedStatementRefusal);
        }
    }

    private login(
        connectionId: number,
        caller: CallerConnection,
        parameters: AuthenticationParameters,
        done: AuthenticationCallback,
    ): void {
        caller.loginCallback = done;
        const { clientHelloReply } = caller.connection;
        caller.text = new CallerText(clientHelloReply.encoding);
        // Statements of a caller that does not wait for the result of its login are read in the same way.
        clientHelloReply.encoding = statementEncoding;
        if (caller.endRefusal !== undefined) {
            this.end(caller, caller.endRefusal);
            return;
        }
        const challenge = Buffer.concat([parameters.authPluginData1, parameters.authPluginData2]);
        const login: CallerLogin = {
            kind: CallerKind.Login,
            connectionId,
            keyId: parameters.user ?? "",
            service: parameters.database ?? "",
            challengeHex: challenge.toString("hex"),
            proofHex: parameters.authToken?.toString("hex") ?? "",
        };
        this.options.post(login);
    }

    private finishLogin(caller: CallerConnection, { refusal }: CallerLoginResult): void {
        const done = caller.loginCallback;
        caller.loginCallback = undefined;
        if (done === undefined) {
            return;
        }
        done(undefined, refusal && toServerError(refusal));
        caller.connection.sequenceId = 0;
        // mysql2 sets the row encoding from the handshake response of the caller, so it is replaced only now.
        caller.connection.serverConfig.encoding = rowEncoding;
        if (refusal === undefined) {
            clearTimeout(caller.loginTimer);
            caller.loggedIn = true;
            caller.packetSizes.limitBytes = maximumPacketBytes;
        }
        else {
            caller.connection.stream.end();
        }
    }

    private receiveStatement(connectionId: number, caller: CallerConnection, encodedText: string): void {
        if (caller.inFlightSequence !== undefined) {
            // The protocol allows one statement in flight per connection; a second one cannot be answered in order.
            caller.connection.stream.destroy();
            return;
        }
        const text = caller.text?.decode(encodedText);
        if (text === undefined) {
            this.writeRefusal(caller, undecodableRefusal);
            return;
        }
        const sequence = caller.nextSequence++;
        caller.inFlightSequence = sequence;
        this.options.post({ kind: CallerKind.Statement, connectionId, sequence, text } as Message);
    }

    private answer(caller: CallerConnection, { sequence, outcome, inTransaction }: CallerAnswer): void {
        if (caller.inFlightSequence !== sequence) {
            return;
        }
        caller.inFlightSequence = undefined;
        caller.inTransaction = inTransaction;
        if (outcome.kind === OutcomeKind.Refused) {
            this.writeRefusal(caller, outcome.refusal);
        }
        else {
            caller.text?.recordDone();
            writeOutcome(caller.connection, outcome, inTransaction);
            caller.connection.sequenceId = 0;
        }
        if (caller.endRefusal !== undefined) {
            this.end(caller, caller.endRefusal);
        }
    }

    /** Ends a connection; a statement in flight, and a login on its way, are answered first. */
    private disconnect(caller: CallerConnection, { refusal }: CallerDisconnect): void {
        const awaitsLogin = !caller.loggedIn && caller.loginCallback === undefined;
        if (caller.inFlightSequence === undefined && !awaitsLogin) {
            this.end(caller, refusal);
            return;
        }
        caller.endRefusal = refusal;
        if (awaitsLogin) {
            this.limitLogin(caller);
        }
    }

    private limitLogin(caller: CallerConnection): void {
        clearTimeout(caller.loginTimer);
        caller.loginTimer = setTimeout(() => caller.connection.stream.destroy(), lastLoginMs);
    }

    private disconnectIdle({ refusal }: CallerDisconnectIdle): void {
        for (const caller of this.callers.values()) {
            if (!caller.loggedIn) {
                // The login is answered with a refusal.
                this.limitLogin(caller);
            }
            else if (caller.inFlightSequence === undefined && !caller.inTransaction) {
                this.end(caller, refusal);
            }
        }
    }

    /**
     * Ends a connection with an error that the caller has not asked for. A statement that crosses with it is never run,
     * and its caller reads the error as the answer. The socket is not destroyed, because a reset may discard the error.
     */
    private end(caller: CallerConnection, refusal: Refusal): void {
        if (caller.closing) {
            return;
        }
        caller.closing = true;
        const { stream } = caller.connection;
        if (caller.loginCallback !== undefined) {
            caller.loginCallback(undefined, toServerError(refusal));
            caller.loginCallback = undefined;
        }
        else if (caller.loggedIn) {
            stream.write(encodeUnaskedError(toServerError(refusal)));
        }
        stream.end();
        stream.removeAllListeners("data");
        stream.resume();
    }

    private handleClose(connectionId: number): void {
        clearTimeout(this.callers.get(connectionId)?.loginTimer);
        this.callers.delete(connectionId);
        this.options.post({ kind: CallerKind.Closed, connectionId } as Message);
    }

    private writeOk(caller: CallerConnection): void {
        caller.connection.writeOk({ serverStatus: serverStatus(caller.inTransaction) });
        caller.connection.sequenceId = 0;
    }

    private writeRefusal(caller: CallerConnection, refusal: Refusal): void {
        const { code, message } = toServerError(refusal);
        caller.connection.writeError({ code, message: toWireText(message) });
        caller.connection.sequenceId = 0;
    }
}

function toServerError(refusal: Refusal): ServerError {
    return { code: refusal.databaseErrno ?? refusalTable[refusal.code].errno, message: describeRefusal(refusal) };
}

const preparedStatementRefusal: Refusal = {
    code: "prepared_unsupported",
    step: "frontend",
    peer: "",
    retryAfterMs: 0,
    detail: "",
    databaseErrno: undefined,
};

const undecodableRefusal = refuse(RefusalCode.StatementUnsupported, "frontend", {
    detail: "its bytes are not UTF-8, or another character set was agreed; send SET NAMES utf8mb4, and bytes as X'..'",
});

function unsupportedRefusal(detail: string): Refusal {
    return { ...preparedStatementRefusal, code: "statement_unsupported", detail };
}
