/** Asks a database whether it leads, as its reports may be old. */
import { LinkCommandKind, type LinkLost, type LinkOpened, type LinkReplied } from "../model/linkMessages.ts";
import type { Message } from "../pipeline/message.ts";
import type { DatabaseCheck } from "./databaseCheck.ts";
import type { ElectorateMember } from "./electorate.ts";
import { FencedDatabase, type FencedDatabaseOptions } from "./fencedDatabase.ts";

export class LeadCheck implements DatabaseCheck {
    private readonly database: FencedDatabase;

    constructor(member: ElectorateMember, options: FencedDatabaseOptions) {
        this.database = new FencedDatabase(member, options);
    }

    /** Whether the database has answered that it leads; undefined without an answer. */
    get leads(): boolean | undefined {
        return this.database.isAnswered ? this.database.status?.leads === true : undefined;
    }

    advance(nowMs: number): readonly Message[] {
        return this.database.advance({ kind: LinkCommandKind.Status }, nowMs);
    }

    linkOpened(message: LinkOpened, nowMs: number): readonly Message[] {
        if (!this.database.owns(message.linkId)) {
            return [];
        }
        this.database.linkOpened(message);
        return this.advance(nowMs);
    }

    linkReplied(message: LinkReplied, nowMs: number): readonly Message[] {
        if (this.database.owns(message.linkId)) {
            this.database.linkReplied(message, nowMs);
        }
        return [];
    }

    linkLost(message: LinkLost, nowMs: number): void {
        if (this.database.owns(message.linkId)) {
            this.database.linkLost(message, nowMs);
        }
    }

    close(): readonly Message[] {
        return this.database.close();
    }
}
