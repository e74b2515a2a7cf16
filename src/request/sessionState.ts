/** The state that the entry instance has for each caller's connection. */
import { laterPosition, type Position } from "../model/position.ts";

/** Log positions by group that a caller's reads must observe; the content of a session token. */
export interface SessionFloors {
    readonly callerId: string;
    readonly floors: ReadonlyMap<string, Position>;
}

/** Encodes floors as opaque text that callers cannot forge. */
export interface SessionTokenCodec {
    encode(floors: SessionFloors): string;
    /** @returns undefined if the token was not issued by this cluster or was altered */
    decode(token: string): SessionFloors | undefined;
}

/** State of one session. */
export class SessionState {
    /** Log position by group that the reads of this session must observe. */
    private readonly floors = new Map<string, Position>();
    /** The caller passed its floors in a session token, so reads need not request them from the primary's holder. */
    hasToken = false;
    /** Database with a connection that has state of this session. */
    pinnedDatabaseId: string | undefined;
    inTransaction = false;

    raiseFloor(groupId: string, position: Position): void {
        const known = this.floors.get(groupId);
        this.floors.set(groupId, laterPosition(known, position));
    }

    getFloor(groupId: string): Position | undefined {
        return this.floors.get(groupId);
    }

    resume(token: SessionFloors): void {
        token.floors.forEach((position, groupId) => this.raiseFloor(groupId, position));
        this.hasToken = true;
    }

    exportFloors(callerId: string): SessionFloors {
        return { callerId, floors: new Map(this.floors) };
    }
}
