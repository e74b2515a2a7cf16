/** One caller: a key, a service, a connection, and operations one after the other. */
import { setTimeout as delay } from "node:timers/promises";
import type { Account } from "./account.ts";
import { type Attributes, withAttributes } from "./attributes.ts";
import { CallKind, type CallOutcome } from "./callOutcome.ts";
import { type CallerConnection, type CallerIdentity, type Connector, isConnection } from "./connector.ts";
import type { GapMeter } from "./gapMeter.ts";
import type { RateModel } from "./rateModel.ts";
import type { RegisterHistory } from "./registerHistory.ts";
import type { WriteLedger } from "./writeLedger.ts";

/** What all callers of a run share. */
export interface LoadState {
    readonly connector: Connector;
    readonly account: Account;
    readonly rates: RateModel;
    readonly gaps: GapMeter;
    readonly registers: RegisterHistory;
    /** One ledger per service. */
    readonly ledgers: ReadonlyMap<string, WriteLedger>;
    readonly nowMs: () => number;
    readonly entryCount: number;
}

/** Pause after a refused connection, so that a dead entry instance is not called without pause. */
const reconnectPauseMs = 50;

export class Caller {
    readonly index: number;
    readonly identity: CallerIdentity;
    readonly service: string;
    readonly state: LoadState;
    private connection: CallerConnection | undefined;
    private entryIndex: number;
    private nextNumber = 1;

    constructor(index: number, identity: CallerIdentity, service: string, state: LoadState) {
        this.index = index;
        this.identity = identity;
        this.service = service;
        this.state = state;
        this.entryIndex = index;
    }

    get ledger(): WriteLedger {
        return this.state.ledgers.get(this.service)!;
    }

    /** A number that this caller has not used before. */
    takeNumber(): number {
        return this.nextNumber++;
    }

    newRequestId(): string {
        return `r-${this.index}-${this.takeNumber()}`;
    }

    /** Runs a statement on the caller's own connection, which is opened again after a loss. */
    async call(sql: string, attributes: Attributes): Promise<CallOutcome> {
        const connection = this.connection ?? await this.openOwn();
        if (!isConnection(connection)) {
            return this.count(connection, true);
        }
        const outcome = await this.send(connection, sql, attributes);
        if (outcome.connectionLost || outcome.kind === CallKind.Unknown) {
            this.dropConnection();
        }
        return outcome;
    }

    /** Runs a statement on a new connection under the same key, on the entry instance `hops` further on. */
    async callElsewhere(hops: number, sql: string, attributes: Attributes): Promise<CallOutcome> {
        const connection = await this.state.connector.connect(this.entryIndex + hops, this.identity, this.service);
        if (!isConnection(connection)) {
            return this.count(connection, true);
        }
        try {
            return await this.send(connection, sql, attributes);
        }
        finally {
            connection.close();
        }
    }

    /**
     * Runs statements in a transaction. Anything but a COMMIT of unknown outcome leaves the transaction rolled back.
     * @param check sees the answer to each statement
     */
    async transact(
        statements: readonly string[],
        attributes: Attributes,
        check: (index: number, outcome: CallOutcome) => void = () => undefined,
    ): Promise<CallKind> {
        const sequence = ["BEGIN", ...statements];
        for (const [index, sql] of sequence.entries()) {
            const outcome = await this.call(sql, attributes);
            if (outcome.kind !== CallKind.Done) {
                await this.abandon();
                return CallKind.NotRun;
            }
            check(index - 1, outcome);
        }
        const committed = await this.call("COMMIT", { workClass: attributes.workClass! });
        if (committed.kind !== CallKind.Done) {
            await this.abandon();
        }
        return committed.kind;
    }

    noteWrite(kind: CallKind): void {
        if (kind === CallKind.Done) {
            this.state.gaps.acknowledged(this.service, this.state.nowMs());
        }
    }

    noteTry(): void {
        this.state.gaps.tried(this.service, this.state.nowMs());
    }

    close(): void {
        this.dropConnection();
    }

    private async openOwn(): Promise<CallerConnection | CallOutcome> {
        const opened = await this.state.connector.connect(this.entryIndex, this.identity, this.service);
        if (isConnection(opened)) {
            this.connection = opened;
        }
        else {
            this.entryIndex += 1;
            await delay(reconnectPauseMs);
        }
        return opened;
    }

    private async send(connection: CallerConnection, sql: string, attributes: Attributes): Promise<CallOutcome> {
        const withinRate = this.state.rates.send(this.identity.workspace, this.state.nowMs());
        return this.count(await connection.query(withAttributes(sql, attributes)), withinRate);
    }

    private count(outcome: CallOutcome, withinRate: boolean): CallOutcome {
        this.state.account.record(outcome, withinRate);
        return outcome;
    }

    private async abandon(): Promise<void> {
        if (this.connection !== undefined) {
            await this.call("ROLLBACK", {});
        }
        this.dropConnection();
    }

    private dropConnection(): void {
        this.connection?.close();
        this.connection = undefined;
    }
}
