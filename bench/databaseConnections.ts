/** Connections from one instance to the databases of the proxy model. */
import {
    type BackendClose,
    type BackendExecute,
    BackendKind,
    type BackendOpen,
    type BackendReadPosition,
} from "../src/model/backendMessages.ts";
import { DatabaseRole } from "../src/model/database.ts";
import { type Outcome, OutcomeKind } from "../src/model/outcome.ts";
import { RefusalCode, refuse } from "../src/model/refusal.ts";
import type { Message } from "../src/pipeline/message.ts";
import type { SeededRandom } from "../src/pipeline/seededRandom.ts";
import type { Sink } from "../src/pipeline/sink.ts";
import type { ModelDatabase } from "./modelDatabase.ts";
import type { ProxyNetwork } from "./proxyNetwork.ts";
import type { Simulation } from "./simulation.ts";
import { isWriteText, parseStatementId } from "./statementText.ts";

type BackendMessage = BackendOpen | BackendClose | BackendExecute | BackendReadPosition;

/** Is notified when a statement starts on a database. */
export interface StatementObserver {
    statementStarted(statementId: number, database: ModelDatabase): void;
}

export interface DatabaseConnectionsOptions {
    readonly instanceId: string;
    readonly dataCentre: number;
    readonly databases: ReadonlyMap<string, ModelDatabase>;
    readonly simulation: Simulation;
    readonly network: ProxyNetwork;
    readonly random: SeededRandom;
    readonly observer: StatementObserver;
    readonly post: (message: Message) => void;
}

interface Connection {
    readonly linkId: string;
    readonly database: ModelDatabase;
    isRunningStatement: boolean;
}

const connectDurationMs = 12;

// Assumed mean service times, chosen so that the reads of one group need more than the slots of its primary.
const meanReadDurationMs = 30;
const meanWriteDurationMs = 10;

export class DatabaseConnections implements Sink<BackendMessage> {
    readonly accepts = [BackendKind.Open, BackendKind.Close, BackendKind.Execute, BackendKind.ReadPosition];
    private readonly options: DatabaseConnectionsOptions;
    private readonly connections = new Map<string, Connection>();
    /** Connections that a database refused because of its limit; the holder must never open these. */
    connectionsBeyondLimit = 0;

    constructor(options: DatabaseConnectionsOptions) {
        this.options = options;
    }

    deliver(message: BackendMessage): void {
        if (message.kind === BackendKind.Open) {
            this.open(message);
            return;
        }
        const connection = this.connections.get(message.linkId);
        if (connection === undefined) {
            return;
        }
        if (message.kind === BackendKind.Close) {
            this.close(connection, "closed by the holder");
        }
        else if (message.kind === BackendKind.Execute) {
            this.sendToDatabase(connection, () => this.execute(connection, message));
        }
        else {
            this.sendToDatabase(connection, () => this.readPosition(connection, message));
        }
    }

    /** Closes all connections to a database that failed. */
    closeConnectionsTo(database: ModelDatabase): void {
        for (const connection of [...this.connections.values()]) {
            if (connection.database === database) {
                this.close(connection, "the database ended");
            }
        }
    }

    private open({ linkId, databaseId, timeoutMs }: BackendOpen): void {
        const { simulation, network, dataCentre, databases, post } = this.options;
        const database = databases.get(databaseId)!;
        const { dataCentre: databaseDataCentre, connectionLimit } = database.options;
        const reportOpenFailure = (afterMs: number, reason: string): void =>
            simulation.after(
                afterMs,
                () => post({ kind: BackendKind.OpenFailed, linkId, databaseId, reason } as Message),
            );
        if (!network.connects(dataCentre, databaseDataCentre)) {
            reportOpenFailure(timeoutMs, "timeout");
            return;
        }
        const isFull = database.openConnections >= connectionLimit;
        this.connectionsBeyondLimit += isFull ? 1 : 0;
        if (!database.isAlive || isFull) {
            reportOpenFailure(1, "refused");
            return;
        }
        const connection = { linkId, database, isRunningStatement: false };
        this.connections.set(linkId, connection);
        database.openConnections++;
        simulation.after(
            connectDurationMs,
            () =>
                network.send(databaseDataCentre, dataCentre, this.streamId(connection), () => {
                    if (this.connections.has(linkId)) {
                        post({ kind: BackendKind.Opened, linkId, databaseId } as Message);
                    }
                }),
        );
    }

    private close(connection: Connection, reason: string): void {
        const { linkId, database } = connection;
        this.connections.delete(linkId);
        database.openConnections--;
        if (connection.isRunningStatement) {
            database.endStatement();
        }
        this.options.post({ kind: BackendKind.Closed, linkId, reason } as Message);
    }

    private execute(connection: Connection, { linkId, executionId, text }: BackendExecute): void {
        const { simulation, observer } = this.options;
        const { database } = connection;
        const statementId = parseStatementId(text);
        connection.isRunningStatement = true;
        database.startStatement();
        // A read returns the data that the database has when the read starts.
        observer.statementStarted(statementId, database);
        simulation.after(this.randomServiceTimeMs(isWriteText(text)), () => {
            if (!this.connections.has(linkId)) {
                return;
            }
            connection.isRunningStatement = false;
            database.endStatement();
            const outcome = isWriteText(text) ? this.write(database, statementId) : emptyRowsOutcome;
            this.sendToInstance(connection, {
                kind: BackendKind.Result,
                linkId,
                executionId,
                outcome,
                inTransaction: false,
            });
        });
    }

    private write(database: ModelDatabase, writeId: number): Outcome {
        if (database.role !== DatabaseRole.Primary) {
            const refusal = refuse(RefusalCode.DatabaseFailed, "execute", { databaseErrno: 1290 });
            return { kind: OutcomeKind.Refused, refusal };
        }
        database.commit(writeId, this.options.simulation.nowMs);
        return { kind: OutcomeKind.Done, affectedRows: 1, insertId: 0 };
    }

    private readPosition(connection: Connection, { linkId, executionId }: BackendReadPosition): void {
        const { role, position } = connection.database;
        this.sendToInstance(connection, { kind: BackendKind.PositionRead, linkId, executionId, role, position });
    }

    private randomServiceTimeMs(isWrite: boolean): number {
        return -Math.log(1 - this.options.random.nextFloat()) * (isWrite ? meanWriteDurationMs : meanReadDurationMs);
    }

    private sendToDatabase(connection: Connection, onArrival: () => void): void {
        const { network, dataCentre } = this.options;
        network.send(dataCentre, connection.database.options.dataCentre, this.streamId(connection), () => {
            if (this.connections.has(connection.linkId)) {
                onArrival();
            }
        });
    }

    private sendToInstance(connection: Connection, message: Message & Record<string, unknown>): void {
        const { network, dataCentre, post } = this.options;
        network.send(connection.database.options.dataCentre, dataCentre, `${this.streamId(connection)} back`, () => {
            if (this.connections.has(connection.linkId)) {
                post(message);
            }
        });
    }

    private streamId({ linkId }: Connection): string {
        return `${this.options.instanceId} ${linkId}`;
    }
}

const emptyRowsOutcome: Outcome = { kind: OutcomeKind.Rows, columns: [], rows: [] };
