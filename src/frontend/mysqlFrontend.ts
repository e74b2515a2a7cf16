/** The MySQL front end: sockets and protocol on the callers' side. Decides nothing. */
import { once } from "node:events";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
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
import { describeRefusal, type Refusal, refusalTable } from "../model/refusal.ts";
import type { Message } from "../pipeline/message.ts";
import type { Sink } from "../pipeline/sink.ts";
import { serverCapabilities, serverStatus } from "./capabilities.ts";
import {
    type AuthenticationCallback,
    type AuthenticationParameters,
    type ServerConnection,
    type ServerError,
    toServerConnection,
} from "./serverConnection.ts";
import { rowEncoding, toWireText } from "./wireText.ts";
import { writeOutcome } from "./writeOutcome.ts";

export interface MysqlFrontendOptions {
    readonly host: string;
    /** 0 takes any free port. */
    readonly port: number;
    /** Puts an event on the event loop. */
    readonly post: (message: Message) => void;
    readonly serverVersion: string;
}

type Effect = CallerLoginResult | CallerAnswer | CallerDisconnect | CallerDisconnectIdle;

interface Caller {
    readonly connection: ServerConnection;
    login: AuthenticationCallback | undefined;
    /** Number of the statement that has no answer yet. */
    inFlightSequence: number | undefined;
    nextSequence: number;
    /** As of the last answer; a ping must report it truthfully. */
    inTransaction: boolean;
    closing: boolean;
}

const utf8mb4 = 45;
const protocolVersion = 10;
const resetConnectionCommand = 31;
const handshakeTimeoutMs = 10_000;

/** Source of `caller.*` events and sink of answers. */
export class MysqlFrontend implements Sink<Effect>, AsyncDisposable {
    readonly accepts = [CallerKind.LoginResult, CallerKind.Answer, CallerKind.Disconnect, CallerKind.DisconnectIdle];
    private readonly options: MysqlFrontendOptions;
    private readonly callers = new Map<number, Caller>();
    private server: Server | undefined;
    private nextConnectionId = 1;

    constructor(options: MysqlFrontendOptions) {
        this.options = options;
    }

    /** Starts listening. Fails when the address is in use. */
    async listen(): Promise<void> {
        const server = createServer(socket => this.accept(socket));
        server.listen(this.options.port, this.options.host);
        await once(server, "listening");
        this.server = server;
    }

    /** Port that was bound; 0 before `listen`. */
    get port(): number {
        return (this.server?.address() as AddressInfo | undefined)?.port ?? 0;
    }

    get connectionCount(): number {
        return this.callers.size;
    }

    deliver(message: Effect): void {
        if (message.kind === CallerKind.DisconnectIdle) {
            this.disconnectIdle();
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

    /** Stops listening for new connections; open ones go on. */
    stopListening(): void {
        this.server?.close();
        this.server = undefined;
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.stopListening();
        this.callers.forEach(({ connection }) => connection.stream.destroy());
        this.callers.clear();
    }

    private accept(socket: Socket): void {
        const connection = toServerConnection(socket);
        const connectionId = this.nextConnectionId++;
        const caller: Caller = {
            connection,
            login: undefined,
            inFlightSequence: undefined,
            nextSequence: 0,
            inTransaction: false,
            closing: false,
        };
        this.callers.set(connectionId, caller);
        connection.stream.setNoDelay(true);
        connection.stream.setTimeout(handshakeTimeoutMs, () => connection.stream.destroy());
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

    private subscribe(connectionId: number, caller: Caller): void {
        const { connection } = caller;
        connection.on("query", (text: string) => this.receive(connectionId, caller, text));
        connection.on("ping", () => this.writeOk(caller));
        connection.on("init_db", () => this.writeRefusal(caller, unsupported("changing the service; connect anew")));
        connection.on("stmt_prepare", (text: string) => this.receivePrepare(connectionId, caller, text));
        connection.on("field_list", () => this.writeRefusal(caller, unsupported("COM_FIELD_LIST")));
        connection.on("packet", (_packet: unknown, known: boolean, command: number) => {
            if (!known) {
                this.refuseCommand(caller, command);
            }
        });
        connection.on("quit", () => connection.stream.end());
        // A caller that goes away raises an error first; the end of the stream reports it.
        connection.on("error", () => connection.stream.destroy());
        connection.stream.on("close", () => this.close(connectionId));
    }

    /** mysql2 leaves a command that it does not know without an answer, and the client would wait for ever. */
    private refuseCommand(caller: Caller, command: number): void {
        const name = command === resetConnectionCommand
            ? "COM_RESET_CONNECTION; open a new connection"
            : `command ${command}`;
        this.writeRefusal(caller, unsupported(name));
    }

    /** mysql2 raises this event for text statements that begin with SET or PREPARE as well. */
    private receivePrepare(connectionId: number, caller: Caller, text: string): void {
        if (/^\s*SET\s/i.test(text)) {
            this.receive(connectionId, caller, text);
        }
        else {
            this.writeRefusal(caller, preparedUnsupported);
        }
    }

    private login(
        connectionId: number,
        caller: Caller,
        parameters: AuthenticationParameters,
        done: AuthenticationCallback,
    ): void {
        caller.login = done;
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

    private finishLogin(caller: Caller, { refusal }: CallerLoginResult): void {
        const done = caller.login;
        caller.login = undefined;
        if (done === undefined) {
            return;
        }
        done(undefined, refusal && toServerError(refusal));
        caller.connection.sequenceId = 0;
        // The library takes the encoding of rows from the caller's handshake, which has just been read.
        caller.connection.serverConfig.encoding = rowEncoding;
        if (refusal === undefined) {
            caller.connection.stream.setTimeout(0);
        }
        else {
            caller.connection.stream.end();
        }
    }

    private receive(connectionId: number, caller: Caller, text: string): void {
        if (caller.inFlightSequence !== undefined || caller.closing) {
            // The protocol allows one statement at a time; a second one cannot be answered in order.
            caller.connection.stream.destroy();
            return;
        }
        const sequence = caller.nextSequence++;
        caller.inFlightSequence = sequence;
        this.options.post({ kind: CallerKind.Statement, connectionId, sequence, text } as Message);
    }

    private answer(caller: Caller, { sequence, outcome, inTransaction }: CallerAnswer): void {
        if (caller.inFlightSequence !== sequence) {
            return;
        }
        caller.inFlightSequence = undefined;
        caller.inTransaction = inTransaction;
        if (outcome.kind === OutcomeKind.Refused) {
            this.writeRefusal(caller, outcome.refusal);
        }
        else {
            writeOutcome(caller.connection, outcome, inTransaction);
            caller.connection.sequenceId = 0;
        }
    }

    /** Ends a connection. A statement without an answer gets none: whether it ran is not known here. */
    private disconnect(caller: Caller, { refusal }: CallerDisconnect): void {
        caller.closing = true;
        if (caller.login !== undefined) {
            caller.login(undefined, toServerError(refusal));
            caller.login = undefined;
        }
        caller.connection.stream.end();
    }

    private disconnectIdle(): void {
        for (const caller of this.callers.values()) {
            if (caller.inFlightSequence === undefined && !caller.inTransaction && caller.login === undefined) {
                caller.closing = true;
                caller.connection.stream.end();
            }
        }
    }

    private close(connectionId: number): void {
        this.callers.delete(connectionId);
        this.options.post({ kind: CallerKind.Closed, connectionId } as Message);
    }

    private writeOk(caller: Caller): void {
        caller.connection.writeOk({ serverStatus: serverStatus(caller.inTransaction) });
        caller.connection.sequenceId = 0;
    }

    private writeRefusal(caller: Caller, refusal: Refusal): void {
        const { code, message } = toServerError(refusal);
        caller.connection.writeError({ code, message: toWireText(message) });
        caller.connection.sequenceId = 0;
    }
}

function toServerError(refusal: Refusal): ServerError {
    return { code: refusal.databaseErrno ?? refusalTable[refusal.code].errno, message: describeRefusal(refusal) };
}

const preparedUnsupported: Refusal = {
    code: "prepared_unsupported",
    step: "frontend",
    peer: "",
    retryAfterMs: 0,
    detail: "",
    databaseErrno: undefined,
};

function unsupported(detail: string): Refusal {
    return { ...preparedUnsupported, code: "statement_unsupported", detail };
}
