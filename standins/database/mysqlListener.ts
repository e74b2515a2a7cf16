/** Accepts MySQL connections and runs their statements. */
import { once } from "node:events";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import type { Address } from "./address.ts";
import { DatabaseError, ErrorNumber, toDatabaseError } from "./databaseError.ts";
import type { ConnectionFaults, Faults } from "./faults.ts";
import { verifyNativePassword } from "./nativePassword.ts";
import {
    greet,
    type Login,
    type ServerConnection,
    toServerConnection,
    writeFailure,
    writeResult,
} from "./serverConnection.ts";
import { Session, type SessionOptions } from "./session.ts";
import { emptyResult } from "./sqlStore.ts";

export interface MysqlListenerOptions extends SessionOptions {
    readonly address: Address;
    readonly password: string;
    readonly connectionLimit: number;
    /** Time until a new connection is greeted. */
    readonly connectDelayMs: number;
}

const userName = "jasmineline";
const resetConnectionCommand = 31;

interface OpenConnection {
    readonly connection: ServerConnection;
    readonly session: Session;
    silent: boolean;
}

export class MysqlListener implements ConnectionFaults, AsyncDisposable {
    private readonly options: MysqlListenerOptions;
    private readonly faults: Faults;
    private readonly server: Server;
    private readonly sockets = new Set<Socket>();
    private readonly open = new Set<OpenConnection>();
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

    /** The address with the port in use, also when port 0 was asked for. */
    get address(): Address {
        return { host: this.options.address.host, port: (this.server.address() as AddressInfo).port };
    }

    get connectionCount(): number {
        return this.open.size;
    }

    silenceAll(): void {
        this.open.forEach(entry => entry.silent = true);
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
        if (this.faults.refusing) {
            socket.destroy();
            return;
        }
        await delay(this.options.connectDelayMs);
        await this.faults.whileRunning();
        if (!socket.destroyed) {
            this.startSession(socket);
        }
    }

    private startSession(socket: Socket): void {
        const connection = toServerConnection(socket);
        // A caller that goes away raises "error" here; the socket's "close" below ends the session.
        connection.on("error", () => undefined);
        if (this.open.size >= this.options.connectionLimit) {
            greet(connection, this.nextConnectionId++, () => tooManyConnections);
            return;
        }
        const entry = { connection, session: new Session(this.options), silent: false };
        this.open.add(entry);
        socket.on("close", () => {
            this.open.delete(entry);
            entry.session.close();
        });
        greet(connection, this.nextConnectionId++, login => this.checkLogin(login));
        this.listen(entry);
    }

    private checkLogin(login: Login): DatabaseError | undefined {
        const challenge = Buffer.concat([login.authPluginData1, login.authPluginData2]);
        const accepted = login.user === userName
            && verifyNativePassword(this.options.password, challenge, login.authToken);
        return accepted ? undefined : new DatabaseError(ErrorNumber.AccessDenied, "Access denied");
    }

    private listen(entry: OpenConnection): void {
        const { connection, session } = entry;
        connection.on("query", (sql: string) => void this.answer(entry, () => session.run(sql)));
        connection.on("ping", () => void this.answer(entry, async () => emptyResult));
        connection.on("init_db", () => void this.answer(entry, async () => emptyResult));
        connection.on("quit", () => connection.stream.end());
        // mysql2 raises this event for text statements that begin with SET or PREPARE as well.
        connection.on("stmt_prepare", (sql: string) =>
            void this.answer(entry, async () => {
                if (/^SET\s/i.test(sql)) {
                    return emptyResult;
                }
                throw new DatabaseError(ErrorNumber.PreparedUnsupported, "prepared statements are not supported");
            }));
        connection.on("packet", (_packet: unknown, known: boolean, command: number) => {
            if (!known) {
                void this.answer(entry, async () => runOtherCommand(session, command));
            }
        });
    }

    private async answer(entry: OpenConnection, run: () => Promise<typeof emptyResult>): Promise<void> {
        await this.faults.whileRunning();
        if (entry.silent) {
            return;
        }
        const write = await run().then(
            result => () => writeResult(entry.connection, result, entry.session.inTransaction),
            (error: unknown) => () => writeFailure(entry.connection, toDatabaseError(error)),
        );
        await this.faults.whileRunning();
        if (!entry.silent && !entry.connection.stream.destroyed) {
            write();
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
