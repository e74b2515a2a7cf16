/**
 * Lets the replicas of a service receive again that a change of primary has left paused: the leader that paused them is lost,
 * or one could not be reached when the change was completed. To be used only while no change is under way.
 */
import { LinkCommandKind, type LinkLost, type LinkOpened, type LinkReplied } from "../model/linkMessages.ts";
import type { Message } from "../pipeline/message.ts";
import type { DatabaseCheck } from "./databaseCheck.ts";
import type { ElectorateMember } from "./electorate.ts";
import { FencedDatabase, type FencedDatabaseOptions } from "./fencedDatabase.ts";

export class HeldReplicas implements DatabaseCheck {
    private readonly options: FencedDatabaseOptions;
    private readonly asked = new Map<string, FencedDatabase>();
    /** Ids of those that hold no pause, as they have answered, or that have ended. */
    private readonly released = new Set<string>();

    constructor(options: FencedDatabaseOptions) {
        this.options = options;
    }

    advance(replicas: readonly ElectorateMember[], nowMs: number): readonly Message[] {
        const due = replicas.filter(({ databaseId }) => !this.released.has(databaseId));
        const gone = [...this.asked.values()].filter(({ databaseId }) =>
            !due.some(replica => replica.databaseId === databaseId)
        );
        const closed = gone.flatMap(database => this.end(database));
        for (const replica of due) {
            if (!this.asked.has(replica.databaseId)) {
                this.asked.set(replica.databaseId, new FencedDatabase(replica, this.options));
            }
        }
        return [...closed, ...[...this.asked.values()].flatMap(database => advance(database, nowMs))];
    }

    linkOpened(message: LinkOpened, nowMs: number): readonly Message[] {
        const database = this.databaseOfLink(message.linkId);
        database?.linkOpened(message);
        return database === undefined ? [] : advance(database, nowMs);
    }

    linkReplied(message: LinkReplied, nowMs: number): readonly Message[] {
        const database = this.databaseOfLink(message.linkId);
        database?.linkReplied(message, nowMs);
        if (database === undefined || !database.isAnswered || database.isHeld) {
            return [];
        }
        this.released.add(database.databaseId);
        return this.end(database);
    }

    linkLost(message: LinkLost, nowMs: number): void {
        const database = this.databaseOfLink(message.linkId);
        database?.linkLost(message, nowMs);
        if (database?.hasNoListener === true) {
            // A process that starts there holds no pause.
            this.released.add(database.databaseId);
            this.asked.delete(database.databaseId);
        }
    }

    close(): readonly Message[] {
        return [...this.asked.values()].flatMap(database => this.end(database));
    }

    private end(database: FencedDatabase): readonly Message[] {
        this.asked.delete(database.databaseId);
        return database.close();
    }

    private databaseOfLink(linkId: string): FencedDatabase | undefined {
        return [...this.asked.values()].find(database => database.owns(linkId));
    }
}

function advance(database: FencedDatabase, nowMs: number): readonly Message[] {
    return database.advance({ kind: database.isHeld ? LinkCommandKind.Resume : LinkCommandKind.Status }, nowMs);
}
