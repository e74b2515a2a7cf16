/**
 * Finds out, outside a promotion, whether a replica has received what databases confirmed that are gone. Until then these
 * count as missing when a new primary is chosen, because their commits may be on the primary alone.
 */
import { LinkCommandKind, type LinkLost, type LinkOpened, type LinkReplied } from "../model/linkMessages.ts";
import { hasReached, type Position } from "../model/position.ts";
import type { Message } from "../pipeline/message.ts";
import type { DatabaseCheck } from "./databaseCheck.ts";
import type { ElectorateMember } from "./electorate.ts";
import { FencedDatabase, type FencedDatabaseOptions } from "./fencedDatabase.ts";

const statusCommand = { kind: LinkCommandKind.Status };

export interface CatchUpCheckOptions extends FencedDatabaseOptions {
    readonly primary: ElectorateMember;
    readonly replicas: readonly ElectorateMember[];
}

export class CatchUpCheck implements DatabaseCheck {
    private readonly primary: FencedDatabase;
    private readonly replicas: readonly FencedDatabase[];
    /** Position of the primary after the databases were gone; they confirmed nothing beyond it. */
    private target: Position | undefined;

    constructor(options: CatchUpCheckOptions) {
        this.primary = new FencedDatabase(options.primary, options);
        this.replicas = options.replicas.map(member => new FencedDatabase(member, options));
    }

    /** Whether a replica holds all commits that the databases had confirmed. */
    get hasCaughtUp(): boolean {
        const { target } = this;
        return target !== undefined
            && this.replicas.some(({ receivedPosition }) =>
                receivedPosition !== undefined && hasReached(receivedPosition, target)
            );
    }

    advance(nowMs: number): readonly Message[] {
        const asked = this.target === undefined ? [this.primary] : this.replicas;
        return asked.flatMap(database => database.advance(statusCommand, nowMs));
    }

    linkOpened(message: LinkOpened, nowMs: number): readonly Message[] {
        this.databaseOfLink(message.linkId)?.linkOpened(message);
        return this.advance(nowMs);
    }

    linkReplied(message: LinkReplied, nowMs: number): readonly Message[] {
        this.databaseOfLink(message.linkId)?.linkReplied(message, nowMs);
        const { status } = this.primary;
        if (this.target === undefined && status?.leads === true) {
            this.target = status.receivedPosition;
        }
        return [];
    }

    linkLost(message: LinkLost, nowMs: number): void {
        this.databaseOfLink(message.linkId)?.linkLost(message, nowMs);
    }

    close(): readonly Message[] {
        return [this.primary, ...this.replicas].flatMap(database => database.close());
    }

    private databaseOfLink(linkId: string): FencedDatabase | undefined {
        return [this.primary, ...this.replicas].find(database => database.owns(linkId));
    }
}
