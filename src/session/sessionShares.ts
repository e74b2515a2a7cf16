/**
 * Keeps the last part of a listener's connections for keys with few sessions: without it, a peer with one key that opens
 * sessions without end would leave no connection to the callers of all others.
 */
import { match } from "ts-pattern";
import {
    type SessionClose,
    type SessionClosed,
    SessionKind,
    type SessionOpened,
    type SessionRefuse,
} from "../model/sessionMessages.ts";
import { StatementFault } from "../model/sessionStatement.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { retryText } from "./taskMessages.ts";

/** Part of the connections that any key may take. */
const sharedPart = 0.9;

/** Callers come back later or, better, at another instance. */
const retryMs = 1_000;

export interface SessionSharesOptions {
    /** Connections that the listener takes. */
    readonly maximumConnections: number;
}

type SharesInput = SessionOpened | SessionClosed | SessionRefuse | SessionClose;

/** Counts also the sessions that wait for their admission, because they take a connection each. */
export class SessionShares implements Filter<SharesInput, Message> {
    readonly step = "session_shares";
    /** Refusals and ends by this process come back as events, as the front end reports only those by callers. */
    readonly accepts = [SessionKind.Opened, SessionKind.Closed, SessionKind.Refuse, SessionKind.Close];
    private readonly sharedSessions: number;
    private readonly keyBySession = new Map<string, string>();
    private readonly countByKey = new Map<string, number>();

    constructor({ maximumConnections }: SessionSharesOptions) {
        this.sharedSessions = Math.floor(sharedPart * maximumConnections);
    }

    process(message: SharesInput): readonly Message[] {
        return match<SharesInput, readonly Message[]>(message)
            .with({ kind: SessionKind.Opened }, opened => [this.open(opened)])
            .with({ kind: SessionKind.Closed }, closed => {
                this.release(closed.sessionId);
                return [closed];
            })
            .with({ kind: SessionKind.Refuse }, { kind: SessionKind.Close }, ({ sessionId }) => {
                this.release(sessionId);
                return [];
            })
            .exhaustive();
    }

    private open(opened: SessionOpened): SessionOpened | SessionRefuse {
        const { sessionId, key } = opened;
        const count = this.countByKey.get(key) ?? 0;
        if (this.keyBySession.size >= this.sharedSessions && count >= this.largestCount()) {
            const detail = retryText("the last connections are for keys with fewer sessions", retryMs);
            return { kind: SessionKind.Refuse, sessionId, fault: StatementFault.Busy, detail };
        }
        this.keyBySession.set(sessionId, key);
        this.countByKey.set(key, count + 1);
        return opened;
    }

    private largestCount(): number {
        return Math.max(...this.countByKey.values());
    }

    private release(sessionId: string): void {
        const key = this.keyBySession.get(sessionId);
        if (key === undefined) {
            return;
        }
        this.keyBySession.delete(sessionId);
        const count = this.countByKey.get(key)! - 1;
        if (count === 0) {
            this.countByKey.delete(key);
        }
        else {
            this.countByKey.set(key, count);
        }
    }
}
