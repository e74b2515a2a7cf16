/** Sink for `backend.*` effects: manages the connections to databases and posts their results to the event loop. */
import { match } from "ts-pattern";
import {
    type BackendClose,
    type BackendExecute,
    type BackendFollow,
    BackendKind,
    type BackendOpen,
    type BackendPromote,
    type BackendReadPosition,
} from "../model/backendMessages.ts";
import { DatabaseRole } from "../model/database.ts";
import { type Outcome, OutcomeKind } from "../model/outcome.ts";
import { describeRefusal } from "../model/refusal.ts";
import type { Message } from "../pipeline/message.ts";
import type { Sink } from "../pipeline/sink.ts";
import type { DatabaseAdapter, DatabaseConnection } from "./databaseAdapter.ts";

export interface MysqlBackendOptions {
    readonly adapter: DatabaseAdapter;
    /** Posts a message to the event loop. */
    readonly post: (message: Message) => void;
}

type BackendEffect =
    | BackendOpen
    | BackendExecute
    | BackendReadPosition
    | BackendClose
    | BackendPromote
    | BackendFollow;

/** A connection that is open or being opened. */
interface Link {
    connection: DatabaseConnection | undefined;
    closed: boolean;
}

export class MysqlBackend implements Sink<BackendEffect>, AsyncDisposable {
    readonly accepts = [
        BackendKind.Open,
        BackendKind.Execute,
        BackendKind.ReadPosition,
        BackendKind.Close,
        BackendKind.Promote,
        BackendKind.Follow,
    ];
    private readonly options: MysqlBackendOptions;
    private readonly links = new Map<string, Link>();

    constructor(options: MysqlBackendOptions) {
        this.options = options;
    }

    deliver(message: BackendEffect): void {
        match(message)
            .with({ kind: BackendKind.Open }, open => void this.open(open))
            .with({ kind: BackendKind.Execute }, execute => void this.execute(execute))
            .with({ kind: BackendKind.ReadPosition }, read => void this.readPosition(read))
            .with(
                { kind: BackendKind.Promote },
                order => void this.executeOrder(order, `JASMINE PROMOTE TERM ${order.term}`),
            )
            .with(
                { kind: BackendKind.Follow },
                order => void this.executeOrder(order, `JASMINE FOLLOW '${order.primaryAddress}' TERM ${order.term}`),
            )
            .with({ kind: BackendKind.Close }, close => this.close(close.linkId, "closed by the holder"))
            .exhaustive();
    }

    async [Symbol.asyncDispose](): Promise<void> {
        [...this.links.keys()].forEach(linkId => this.close(linkId, "the instance stops"));
    }

    private async open(message: BackendOpen): Promise<void> {
        const { linkId, databaseId } = message;
        const link: Link = { connection: undefined, closed: false };
        this.links.set(linkId, link);
        try {
            const connection = await this.options.adapter.open(
                message.address,
                message.timeoutMs,
                reason => this.close(linkId, reason),
            );
            if (link.closed) {
                connection.destroy();
                return;
            }
            link.connection = connection;
            this.options.post({ kind: BackendKind.Opened, linkId, databaseId } as Message);
        }
        catch (error) {
            if (!link.closed) {
                this.links.delete(linkId);
                this.options.post(
                    { kind: BackendKind.OpenFailed, linkId, databaseId, reason: errorMessage(error) } as Message,
                );
            }
        }
    }

    private async execute(message: BackendExecute): Promise<void> {
        const { linkId, executionId } = message;
        const outcome = await this.executeText(linkId, message.text);
        if (outcome !== undefined) {
            const inTransaction = this.links.get(linkId)?.connection?.inTransaction ?? false;
            this.options.post({ kind: BackendKind.Result, linkId, executionId, outcome, inTransaction } as Message);
        }
    }

    private async readPosition(message: BackendReadPosition): Promise<void> {
        const { linkId, executionId } = message;
        const outcome = await this.executeText(linkId, "SHOW JASMINE POSITION");
        if (outcome === undefined) {
            return;
        }
        const row = outcome.kind === OutcomeKind.Rows ? outcome.rows[0] : undefined;
        if (row === undefined) {
            this.close(linkId, "the database did not report its position");
            return;
        }
        const role = row[0] === DatabaseRole.Primary ? DatabaseRole.Primary : DatabaseRole.Replica;
        const position = { term: Number(row[1]), offset: Number(row[2]) };
        this.options.post({ kind: BackendKind.PositionRead, linkId, executionId, role, position } as Message);
    }

    private async executeOrder(message: BackendPromote | BackendFollow, text: string): Promise<void> {
        const { linkId, executionId } = message;
        const outcome = await this.executeText(linkId, text);
        if (outcome !== undefined) {
            const failure = outcome.kind === OutcomeKind.Refused ? describeRefusal(outcome.refusal) : undefined;
            this.options.post({ kind: BackendKind.Ordered, linkId, executionId, failure } as Message);
        }
    }

    /** Executes a text. Returns undefined if the connection ended, which `backend.closed` reports. */
    private async executeText(linkId: string, text: string): Promise<Outcome | undefined> {
        const link = this.links.get(linkId);
        if (link?.connection === undefined) {
            return undefined;
        }
        try {
            const outcome = await link.connection.execute(text);
            return link.closed ? undefined : outcome;
        }
        catch (error) {
            this.close(linkId, errorMessage(error));
            return undefined;
        }
    }

    private close(linkId: string, reason: string): void {
        const link = this.links.get(linkId);
        if (link === undefined) {
            return;
        }
        this.links.delete(linkId);
        link.closed = true;
        link.connection?.destroy();
        this.options.post({ kind: BackendKind.Closed, linkId, reason } as Message);
    }
}

function errorMessage(error: unknown): string {
    return error instanceof Error ? error.message : String(error);
}
