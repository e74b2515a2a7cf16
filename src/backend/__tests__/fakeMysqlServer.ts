/** Fake MySQL server on the loopback interface that answers a few fixed statements. */
import { createServer } from "mysql2";
import type { AddressInfo, Server as NetServer, Socket } from "node:net";

/** Members of the server side of mysql2 that its types omit. */
interface ServerConnection {
    readonly stream: Socket;
    /** Sequence number of the next packet; each command starts at 0. */
    sequenceId: number;
    serverConfig: { encoding: string; };
    serverHandshake(options: object): void;
    writeOk(options: object): void;
    writeError(options: object): void;
    writeColumns(columns: readonly object[]): void;
    writeTextRow(cells: readonly unknown[]): void;
    writeEof(warnings: number, status: number): void;
    on(event: string, listener: (text: string) => void): void;
}

interface ListeningServer {
    readonly _server: NetServer;
    listen(port: number, host: string): void;
}

const transactionStatusFlags = 3;
const idleStatusFlags = 2;
// Excludes TLS, compression and the flag that replaces the EOF packet.
const capabilityFlags = 0xfff7df;
const largeStringType = 253;

export class FakeMysqlServer implements AsyncDisposable {
    readonly statements: string[] = [];
    /** If set, new connections receive no handshake. */
    unresponsive = false;
    /** If set, the answer to a statement comes after a repetition of what the connection sent last. */
    repeatsBeforeAnswer = false;
    /** Values that a new connection reports for the variables that the adapter reads, in its order. */
    sessionSettings = ["STRICT_TRANS_TABLES", "utf8mb4", "utf8mb4", "utf8mb4", "1", "NO_CHAIN"];
    /** If set, SET succeeds without effect. */
    keepsSettings = false;
    private readonly server: ListeningServer;
    private readonly connections: ServerConnection[] = [];
    /** Packets that were sent since the last ones arrived. */
    private readonly answers = new Map<ServerConnection, Buffer[]>();

    constructor() {
        this.server = createServer(connection =>
            this.accept(connection as unknown as ServerConnection)
        ) as unknown as ListeningServer;
    }

    async start(): Promise<this> {
        this.server.listen(0, "127.0.0.1");
        await new Promise(resolve => this.server._server.once("listening", resolve));
        return this;
    }

    get address(): string {
        return `127.0.0.1:${(this.server._server.address() as AddressInfo).port}`;
    }

    /** Sends the last answer of each connection once more. */
    repeatAnswers(): void {
        this.connections.forEach(connection => connection.stream.write(Buffer.concat(this.answers.get(connection)!)));
    }

    closeConnections(): void {
        this.connections.forEach(connection => connection.stream.destroy());
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.closeConnections();
        await new Promise(resolve => this.server._server.close(resolve));
    }

    private accept(connection: ServerConnection): void {
        this.connections.push(connection);
        connection.on("error", () => undefined);
        this.recordAnswers(connection);
        if (!this.unresponsive) {
            connection.serverHandshake({
                protocolVersion: 10,
                serverVersion: "8.0.0",
                connectionId: this.connections.length,
                statusFlags: idleStatusFlags,
                characterSet: 45,
                capabilityFlags,
            });
            const settings = [...this.sessionSettings];
            connection.on("query", text => {
                connection.sequenceId = 1;
                this.answer(connection, text, settings);
                connection.sequenceId = 0;
            });
            // mysql2 raises this event for statements that begin with SET.
            connection.on("stmt_prepare", text => {
                connection.sequenceId = 1;
                this.set(text, settings);
                connection.writeOk({ affectedRows: 0, serverStatus: idleStatusFlags });
                connection.sequenceId = 0;
            });
        }
    }

    private recordAnswers(connection: ServerConnection): void {
        const { stream } = connection;
        const write = stream.write.bind(stream);
        this.answers.set(connection, []);
        stream.write = (packet: Buffer, ...rest: never[]): boolean => {
            this.answers.get(connection)!.push(Buffer.from(packet));
            return write(packet, ...rest);
        };
        stream.prependListener("data", () => {
            if (this.repeatsBeforeAnswer) {
                write(Buffer.concat(this.answers.get(connection)!));
            }
            this.answers.set(connection, []);
        });
    }

    private set(text: string, settings: string[]): void {
        this.statements.push(text);
        const mode = /^SET SESSION sql_mode = '([^']*)'$/.exec(text)?.[1];
        if (this.keepsSettings) {
            return;
        }
        if (mode !== undefined) {
            settings[0] = mode;
        }
        else if (text === "SET SESSION autocommit = 1") {
            settings[4] = "1";
        }
        else if (text === "SET SESSION completion_type = 'NO_CHAIN'") {
            settings[5] = "NO_CHAIN";
        }
        else if (text === "SET NAMES utf8mb4") {
            settings.fill("utf8mb4", 1, 4);
        }
    }

    private answer(connection: ServerConnection, text: string, settings: readonly string[]): void {
        this.statements.push(text);
        if (text.startsWith("SELECT @@SESSION.")) {
            writeRows(connection, settings.map(() => 45), [settings], idleStatusFlags);
        }
        else if (text === "BEGIN") {
            connection.writeOk({ affectedRows: 0, serverStatus: transactionStatusFlags });
        }
        else if (text === "SHOW JASMINE POSITION") {
            writeRows(connection, [45, 45, 45], [["primary", "3", "41"]], idleStatusFlags);
        }
        else if (text === "SELECT bytes") {
            // Encoding of the rows; latin1 writes one byte per character.
            connection.serverConfig.encoding = "latin1";
            writeRows(
                connection,
                [63, 45],
                [["\u0000\u00ff\u0080", "\u00c3\u00a9"], [undefined, ""]],
                transactionStatusFlags,
            );
        }
        else if (text === "FAIL" || text === "DEADLOCK") {
            connection.writeError({ code: text === "FAIL" ? 1064 : 1213, message: "as asked" });
        }
        else if (text !== "HANG") {
            connection.writeOk({ affectedRows: 2, insertId: 9, serverStatus: idleStatusFlags });
        }
    }
}

function writeRows(
    connection: ServerConnection,
    characterSets: readonly number[],
    rows: readonly (readonly (string | undefined)[])[],
    status: number,
): void {
    connection.writeColumns(characterSets.map((characterSet, index) => ({
        catalog: "def",
        schema: "",
        table: "",
        orgTable: "",
        name: `c${index}`,
        orgName: "",
        characterSet,
        columnLength: 255,
        columnType: largeStringType,
        flags: 0,
        decimals: 0,
    })));
    rows.forEach(row => connection.writeTextRow(row.map(cell => cell ?? JSON.parse("null"))));
    connection.writeEof(0, status);
}
