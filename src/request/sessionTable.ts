/** The sessions of the callers connected to this instance. */
import { type Refusal, RefusalCode, refuse } from "../model/refusal.ts";
import { type AdmittedRequest, LocalAction } from "./requestMessages.ts";
import { SessionState, type SessionTokenCodec } from "./sessionState.ts";

export class SessionTable {
    private readonly sessions = new Map<number, SessionState>();
    private readonly idPrefix: string;
    private readonly tokenCodec: SessionTokenCodec;

    /** @param idPrefix makes session ids unique across instances and restarts */
    constructor(idPrefix: string, tokenCodec: SessionTokenCodec) {
        this.idPrefix = idPrefix;
        this.tokenCodec = tokenCodec;
    }

    getOrCreate(connectionId: number): SessionState {
        let session = this.sessions.get(connectionId);
        if (session === undefined) {
            session = new SessionState();
            this.sessions.set(connectionId, session);
        }
        return session;
    }

    /** Returns undefined if the connection never sent a statement. */
    get(connectionId: number): SessionState | undefined {
        return this.sessions.get(connectionId);
    }

    remove(connectionId: number): void {
        this.sessions.delete(connectionId);
    }

    /** Returns the id that identifies the session to holders. */
    sessionIdOf(connectionId: number): string {
        return `${this.idPrefix}/${connectionId}`;
    }

    /**
     * Raises the session's floors to those of the token that a statement carries, if any.
     * @returns a refusal if the token is invalid or belongs to another caller
     */
    resume(request: AdmittedRequest): Refusal | undefined {
        const isResume = request.localAction === LocalAction.ResumeSession;
        const token = isResume ? request.localArgument : request.attributes.sessionToken;
        if (token === undefined) {
            return undefined;
        }
        const floors = this.tokenCodec.decode(token);
        if (floors === undefined || floors.callerId !== request.callerId) {
            return refuse(RefusalCode.MalformedAttribute, "route", { detail: "the session token is not valid" });
        }
        this.getOrCreate(request.connectionId).resume(floors);
        return undefined;
    }

    /** Returns the token with which the caller can continue its session on another connection. */
    encodeToken(request: AdmittedRequest): string {
        return this.tokenCodec.encode(this.getOrCreate(request.connectionId).exportFloors(request.callerId));
    }
}
