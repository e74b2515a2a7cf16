/** A simulated caller, which runs operations one at a time with one key on one service. */
import { setTimeout as delay } from "node:timers/promises";
import { type CallOutcome, OutcomeKind } from "./callOutcome.ts";
import { type CallerConnection, type CallerIdentity, type Connector, isConnection } from "./connector.ts";
import type { FailoverGapMeter } from "./failoverGapMeter.ts";
import type { LoadStatistics } from "./loadStatistics.ts";
import type { RateModel } from "./rateModel.ts";
import type { RegisterHistory } from "./registerHistory.ts";
import { appendAttributes, type StatementAttributes } from "./statementAttributes.ts";
import type { WriteOutcomes } from "./writeOutcomes.ts";

/** State shared by all callers of a run. */
export interface LoadState {
    readonly connector: Connector;
    readonly statistics: LoadStatistics;
    readonly rateModel: RateModel;
    readonly gapMeter: FailoverGapMeter;
    readonly registerHistory: RegisterHistory;
    /** Write outcomes by service. */
    readonly writeOutcomes: ReadonlyMap<string, WriteOutcomes>;
    readonly nowMs: () => number;
    readonly entryCount: number;
}

/** Pause after a failed connection attempt, so that callers do not retry a dead entry instance in a tight loop. */
const reconnectPauseMs = 50;

export class Caller {
    readonly index: number;
    readonly identity: CallerIdentity;
    readonly service: string;
    readonly state: LoadState;
    private connection: CallerConnection | undefined;
    private entryIndex: number;
    private unusedNumber = 1;

    constructor(index: number, identity: CallerIdentity, service: string, state: LoadState) {
        this.index = index;
        this.identity = identity;
        this.service = service;
        this.state = state;
        this.entryIndex = index;
    }

    get writeOutcomes(): WriteOutcomes {
        return this.state.writeOutcomes.get(this.service)!;
    }

    /** Returns a number that this caller has not used before. */
    nextUniqueNumber(): number {
        return this.unusedNumber++;
    }

    newRequestId(): string {
        return `r-${this.index}-${this.nextUniqueNumber()}`;
    }

    /** Runs a statement on the caller's own connection, reopening a lost connection first. */
    async execute(sql: string, attributes: StatementAttributes): Promise<CallOutcome> {
        const connection = this.connection ?? await this.openConnection();
        if (!isConnection(connection)) {
            return this.recordOutcome(connection, true);
        }
        const outcome = await this.send(connection, sql, attributes);
        if (outcome.connectionLost || outcome.kind === OutcomeKind.Unknown) {
            this.closeConnection();
        }
        return outcome;
    }

    /**
     * Runs a statement on a new connection with the same key.
     * @param entryOffset 0 selects the entry instance of the own connection, 1 the next one in the list
     */
    async executeOnNewConnection(
        entryOffset: number,
        sql: string,
        attributes: StatementAttributes,
    ): Promise<CallOutcome> {
        const connection = await this.state.connector.connect(
            this.entryIndex + entryOffset,
            this.identity,
            this.service,
        );
        if (!isConnection(connection)) {
            return this.recordOutcome(connection, true);
        }
        try {
            return await this.send(connection, sql, attributes);
        }
        finally {
            connection.close();
        }
    }

    /**
     * Runs statements in a transaction, which is rolled back on any error other than a COMMIT of unknown outcome.
     * @param onOutcome called with the outcome of each statement; index -1 is BEGIN
     */
    async executeTransaction(
        statements: readonly string[],
        attributes: StatementAttributes,
        onOutcome: (index: number, outcome: CallOutcome) => void = () => undefined,
    ): Promise<OutcomeKind> {
        const transactionStatements = ["BEGIN", ...statements];
        for (const [index, sql] of transactionStatements.entries()) {
            const outcome = await this.execute(sql, attributes);
            if (outcome.kind !== OutcomeKind.Done) {
                await this.rollBackAndClose();
                return OutcomeKind.NotRun;
            }
            onOutcome(index - 1, outcome);
        }
        const commitOutcome = await this.execute("COMMIT", { workClass: attributes.workClass! });
        if (commitOutcome.kind !== OutcomeKind.Done) {
            await this.rollBackAndClose();
        }
        return commitOutcome.kind;
    }

    recordWriteOutcome(kind: OutcomeKind): void {
        if (kind === OutcomeKind.Done) {
            this.state.gapMeter.recordAcknowledgement(this.service, this.state.nowMs());
        }
    }

    recordWriteAttempt(): void {
        this.state.gapMeter.recordAttempt(this.service, this.state.nowMs());
    }

    close(): void {
        this.closeConnection();
    }

    private async openConnection(): Promise<CallerConnection | CallOutcome> {
        const connection = await this.state.connector.connect(this.entryIndex, this.identity, this.service);
        if (isConnection(connection)) {
            this.connection = connection;
        }
        else {
            this.entryIndex += 1;
            await delay(reconnectPauseMs);
        }
        return connection;
    }

    private async send(
        connection: CallerConnection,
        sql: string,
        attributes: StatementAttributes,
    ): Promise<CallOutcome> {
        const withinRate = this.state.rateModel.recordStatement(this.identity.workspace, this.state.nowMs());
        return this.recordOutcome(await connection.query(appendAttributes(sql, attributes)), withinRate);
    }

    private recordOutcome(outcome: CallOutcome, withinRate: boolean): CallOutcome {
        this.state.statistics.recordOutcome(outcome, withinRate);
        return outcome;
    }

    private async rollBackAndClose(): Promise<void> {
        if (this.connection !== undefined) {
            await this.execute("ROLLBACK", {});
        }
        this.closeConnection();
    }

    private closeConnection(): void {
        this.connection?.close();
        this.connection = undefined;
    }
}
