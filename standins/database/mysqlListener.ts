/** Accepts connections over the MySQL protocol and runs their statements. */
import { once } from "node:events";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import type { Address } from "./address.ts";
import { DatabaseError, ErrorNumber, toDatabaseError } from "./databaseError.ts";
import type { ConnectionFaults, Faults } from "./faults.ts";
import { verifyNativePassword } from "./nativePassword.ts";
import {
    type Login,
    type ServerConnection,
    startHandshake,
    toServerConnection,
    writeErrorResponse,
    writeResult,
} from "./serverConnection.ts";
import { Session, type SessionOptions } from "./session.ts";
import { emptyResult } from "./sqlStore.ts";

export interface MysqlListenerOptions extends SessionOptions {
    readonly address: Address;
    readonly password: string;
    readonly connectionLimit: number;
    /** Delay before the handshake of a new connection. */
    readonly connectDelayMs: number;
}

const expectedUserName = "jasmineline";
const resetConnectionCommand = 31;

interface OpenConnection {
    readonly connection: ServerConnection;
    readonly session: Session;
    silenced: boolean;
}

export class MysqlListener implements ConnectionFaults, AsyncDisposable {
    private readonly options: MysqlListenerOptions;
    private readonly faults: Faults;
    private readonly server: Server;
    private readonly sockets = new Set<Socket>();
    private readonly openConnections = new Set<OpenConnection>();
    private nextConnectionId = 1;

    private constructor(options: MysqlListenerOptions) {
        this.options = options;
        this.faults = options.faults;
        this.server = createServer(socket => void this.accept(socket));
    }

    static async open(options: MysqlListenerOptions): Promise<MysqlListener> {
        const listener = new MysqlListener(options);
        listener.server.listen(options.address.port, options.address.host);
        await once(listener.server, "listening");
        return listener;
    }

    /** Bound address, with the actual port when port 0 was requested. */
    get address(): Address {
        return { host: this.options.address.host, port: (this.server.address() as AddressInfo).port };
    }

    get connectionCount(): number {
        return this.openConnections.size;
    }

    silenceAll(): void {
        this.openConnections.forEach(openConnection => openConnection.silenced = true);
    }

    dropAll(): void {
        this.sockets.forEach(socket => socket.destroy());
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.dropAll();
        await new Promise<void>(resolve => this.server.close(() => resolve()));
    }

    private async accept(socket: Socket): Promise<void> {
        this.sockets.add(socket);
        socket.setNoDelay(true);
        socket.on("error", () => socket.destroy());
        socket.on("close", () => this.sockets.delete(socket));
        if (this.faults.refusesConnections) {
            socket.destroy();
            return;
        }
        await delay(this.options.connectDelayMs);
        await this.faults.waitWhilePaused();
        if (!socket.destroyed) {
            this.startSession(socket);
        }
    }

    private startSession(socket: Socket): void {
        const connection = toServerConnection(socket);
        // A client that disconnects raises "error" here; the "close" handler of the socket ends the session.
        connection.on("error", () => undefined);
        if (this.openConnections.size >= this.options.connectionLimit) {
            startHandshake(connection, this.nextConnectionId++, () => tooManyConnections);
            return;
        }
        const openConnection = { connection, session: new Session(this.options), silenced: false };
        this.openConnections.add(openConnection);
        socket.on("close", () => {
            this.openConnections.delete(openConnection);
            openConnection.session.close();
        });
        startHandshake(connection, this.nextConnectionId++, login => this.checkLogin(login));
        this.handleCommands(openConnection);
    }

    private checkLogin(login: Login): DatabaseError | undefined {
        const challenge = Buffer.concat([login.authPluginData1, login.authPluginData2]);
        const accepted = login.user === expectedUserName
            && verifyNativePassword(this.options.password, challenge, login.authToken);
        return accepted ? undefined : new DatabaseError(ErrorNumber.AccessDenied, "Access denied");
    }

    private handleCommands(openConnection: OpenConnection): void {
        const { connection, session } = openConnection;
        connection.on("query", (sql: string) => void this.respond(openConnection, () => session.run(sql)));
        connection.on("ping", () => void this.respond(openConnection, async () => emptyResult));
        connection.on("init_db", () => void this.respond(openConnection, async () => emptyResult));
        connection.on("quit", () => connection.stream.end());
        // mysql2 also raises this event for text statements that begin with SET or PREPARE.
        connection.on("stmt_prepare", (sql: string) =>
            void this.respond(openConnection, async () => {
                if (/^SET\s/i.test(sql)) {
                    return session.run(sql);
                }
                throw new DatabaseError(ErrorNumber.PreparedUnsupported, "prepared statements are not supported");
            }));
        connection.on("packet", (_packet: unknown, isKnownCommand: boolean, command: number) => {
            if (!isKnownCommand) {
                void this.respond(openConnection, async () => runOtherCommand(session, command));
            }
        });
    }

    private async respond(openConnection: OpenConnection, execute: () => Promise<typeof emptyResult>): Promise<void> {
        await this.faults.waitWhilePaused();
        if (openConnection.silenced) {
            return;
        }
        const sendResponse = await execute().then(
            result => () => writeResult(openConnection.connection, result, openConnection.session.inTransaction),
            (error: unknown) => () => writeErrorResponse(openConnection.connection, toDatabaseError(error)),
        );
        await this.faults.waitWhilePaused();
        if (!openConnection.silenced && !openConnection.connection.stream.destroyed) {
            sendResponse();
        }
    }
}

const tooManyConnections = new DatabaseError(ErrorNumber.TooManyConnections, "Too many connections");

function runOtherCommand(session: Session, command: number): typeof emptyResult {
    if (command !== resetConnectionCommand) {
        throw new DatabaseError(ErrorNumber.UnknownCommand, `unknown command ${command}`);
    }
    session.rollback();
    return emptyResult;
}
