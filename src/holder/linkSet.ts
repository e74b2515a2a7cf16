/** The work connections of one database. */
import type { HolderRequest } from "../model/holderMessages.ts";
import { StatementKind } from "../model/statement.ts";

export const LinkState = {
    Opening: "opening",
    Idle: "idle",
    Running: "running",
    Probing: "probing",
    /** Asked to close; counts until the database side has ended. */
    Closing: "closing",
} as const;
export type LinkState = typeof LinkState[keyof typeof LinkState];

/** One work connection. */
export interface Link {
    readonly linkId: string;
    state: LinkState;
    /** Session whose state the connection keeps; nobody else may use it. */
    owner: string | undefined;
    inTransaction: boolean;
    sessionState: boolean;
    /** What runs on it. */
    runningRequest: HolderRequest | undefined;
    /** The session of the running statement ended meanwhile. */
    sessionEnded: boolean;
    /** Time of the last change of state. */
    stateSinceMs: number;
}

export class LinkSet {
    private readonly links = new Map<string, Link>();
    /** The connection used last is used next, so that surplus ones stay idle and are probed. */
    private readonly freeLinks: Link[] = [];
    private readonly linkByOwner = new Map<string, Link>();
    private linksRunning = 0;

    add(linkId: string, nowMs: number): void {
        this.links.set(linkId, {
            linkId,
            state: LinkState.Opening,
            owner: undefined,
            inTransaction: false,
            sessionState: false,
            runningRequest: undefined,
            sessionEnded: false,
            stateSinceMs: nowMs,
        });
    }

    get(linkId: string): Link | undefined {
        return this.links.get(linkId);
    }

    ownedBy(session: string): Link | undefined {
        return this.linkByOwner.get(session);
    }

    setState(link: Link, state: LinkState, nowMs: number): void {
        this.leaveState(link);
        link.state = state;
        link.stateSinceMs = nowMs;
        if (state === LinkState.Running) {
            this.linksRunning++;
        }
        else if (state === LinkState.Idle && link.owner === undefined) {
            this.freeLinks.push(link);
        }
    }

    /** Gives the connection to a session, or to nobody; only while it is not idle. */
    setOwner(link: Link, owner: string | undefined): void {
        if (link.owner !== undefined) {
            this.linkByOwner.delete(link.owner);
        }
        link.owner = owner;
        if (owner !== undefined) {
            this.linkByOwner.set(owner, link);
        }
    }

    remove(link: Link): void {
        this.leaveState(link);
        this.setOwner(link, undefined);
        this.links.delete(link.linkId);
    }

    /** An idle connection without an owner. */
    get nextFree(): Link | undefined {
        return this.freeLinks.at(-1);
    }

    get size(): number {
        return this.links.size;
    }

    get runningCount(): number {
        return this.linksRunning;
    }

    /** Running statements other than reads, on connections that keep nobody's state. */
    get runningNonReadCount(): number {
        return [...this.links.values()]
            .filter(({ owner, runningRequest: running }) =>
                owner === undefined && running !== undefined && !isRead(running)
            )
            .length;
    }

    get ownedCount(): number {
        return this.linkByOwner.size;
    }

    /** Connections that are open or opening and that keep nobody's state. */
    get unownedCount(): number {
        return [...this.links.values()]
            .filter(link => link.owner === undefined && link.state !== LinkState.Closing)
            .length;
    }

    /** Whether any connection is open and not about to close. */
    get hasOpenLink(): boolean {
        return [...this.links.values()]
            .some(link => link.state !== LinkState.Opening && link.state !== LinkState.Closing);
    }

    get all(): readonly Link[] {
        return [...this.links.values()];
    }

    private leaveState(link: Link): void {
        if (link.state === LinkState.Running) {
            this.linksRunning--;
        }
        else if (link.state === LinkState.Idle && link.owner === undefined) {
            this.freeLinks.splice(this.freeLinks.lastIndexOf(link), 1);
        }
    }
}

function isRead({ statementKind }: HolderRequest): boolean {
    return statementKind === StatementKind.Read;
}
