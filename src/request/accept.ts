/** First step of the request pipe: limits the number of connections and the size of statements. */
import { match } from "ts-pattern";
import {
    type CallerClosed,
    type CallerConnected,
    type CallerDisconnect,
    type CallerDisconnectIdle,
    CallerKind,
    type CallerLogin,
    type CallerLoginResult,
    type CallerStatement,
} from "../model/callerMessages.ts";
import { ClusterKind, type DrainStarted } from "../model/clusterMessages.ts";
import { RefusalCode, refuse } from "../model/refusal.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { type RefusedRequest, RequestKind, type SessionEnded } from "./requestMessages.ts";

type Input = CallerConnected | CallerLogin | CallerStatement | CallerClosed | DrainStarted;

export interface AcceptOptions {
    readonly maximumConnections: number;
    readonly maximumStatementBytes: number;
}

/** Refuses connections and statements that exceed the limits, and refuses logins while the instance drains. */
export class AcceptFilter implements Filter<Input, Message> {
    readonly step = "accept";
    readonly accepts = [
        CallerKind.Connected,
        CallerKind.Login,
        CallerKind.Statement,
        CallerKind.Closed,
        ClusterKind.DrainStarted,
    ];
    private readonly options: AcceptOptions;
    private readonly connections = new Set<number>();
    private draining = false;

    constructor(options: AcceptOptions) {
        this.options = options;
    }

    process(message: Input): readonly Message[] {
        return match(message)
            .with({ kind: CallerKind.Connected }, connected => this.acceptConnection(connected))
            .with({ kind: CallerKind.Login }, login => this.checkLogin(login))
            .with({ kind: CallerKind.Statement }, statement => this.checkStatement(statement))
            .with({ kind: CallerKind.Closed }, closed => this.closeConnection(closed))
            .with({ kind: ClusterKind.DrainStarted }, drain => this.startDrain(drain))
            .exhaustive();
    }

    private acceptConnection(connected: CallerConnected): readonly Message[] {
        if (this.connections.size >= this.options.maximumConnections) {
            const refusal = refuse(RefusalCode.Overloaded, this.step, { detail: "too many connections" });
            const disconnect: CallerDisconnect = {
                kind: CallerKind.Disconnect,
                connectionId: connected.connectionId,
                refusal,
            };
            return [disconnect];
        }
        this.connections.add(connected.connectionId);
        return [connected];
    }

    private checkLogin(login: CallerLogin): readonly Message[] {
        if (this.draining) {
            const result: CallerLoginResult = {
                kind: CallerKind.LoginResult,
                connectionId: login.connectionId,
                refusal: refuse(RefusalCode.ShuttingDown, this.step),
            };
            return [result];
        }
        return this.connections.has(login.connectionId) ? [login] : [];
    }

    private checkStatement(statement: CallerStatement): readonly Message[] {
        if (!this.connections.has(statement.connectionId)) {
            return [];
        }
        // A UTF-16 code unit takes at most three bytes in UTF-8, so short statements skip the exact count.
        const { maximumStatementBytes } = this.options;
        if (statement.text.length <= maximumStatementBytes / 3 || utf8Length(statement.text) <= maximumStatementBytes) {
            return [statement];
        }
        const refused: RefusedRequest = {
            kind: RequestKind.Refused,
            connectionId: statement.connectionId,
            sequence: statement.sequence,
            refusal: refuse(RefusalCode.StatementTooLarge, this.step, {
                detail: `the limit is ${maximumStatementBytes} bytes`,
            }),
            request: undefined,
        };
        return [refused];
    }

    private closeConnection(closed: CallerClosed): readonly Message[] {
        this.connections.delete(closed.connectionId);
        const ended: SessionEnded = { kind: RequestKind.SessionEnded, connectionId: closed.connectionId };
        return [ended];
    }

    private startDrain(drain: DrainStarted): readonly Message[] {
        this.draining = true;
        const refusal = refuse(RefusalCode.ShuttingDown, this.step);
        const disconnectIdle: CallerDisconnectIdle = { kind: CallerKind.DisconnectIdle, refusal };
        return [disconnectIdle, drain];
    }
}

function utf8Length(text: string): number {
    let bytes = 0;
    for (const character of text) {
        const codePoint = character.codePointAt(0)!;
        bytes += codePoint < 0x80 ? 1 : codePoint < 0x800 ? 2 : codePoint < 0x10000 ? 3 : 4;
    }
    return bytes;
}
