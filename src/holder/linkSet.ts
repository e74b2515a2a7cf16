/** The connections of a work pool ("links"), indexed by id, owner and state. */
import type { HolderRequest } from "../model/holderMessages.ts";
import { StatementKind } from "../model/statement.ts";

export const LinkState = {
    Opening: "opening",
    Idle: "idle",
    Running: "running",
    Probing: "probing",
    /** Close requested; the link stays in the set until the close is confirmed. */
    Closing: "closing",
} as const;
export type LinkState = typeof LinkState[keyof typeof LinkState];

/** One connection on which the database runs statements. */
export interface Link {
    readonly linkId: string;
    state: LinkState;
    /** Session that the connection is pinned to; no other session may use it. */
    owner: string | undefined;
    inTransaction: boolean;
    sessionState: boolean;
    /** Request whose statement is running on the connection. */
    runningRequest: HolderRequest | undefined;
    /** Whether the session of the running statement has ended in the meantime. */
    sessionEnded: boolean;
    /** Time of the last state change. */
    stateSinceMs: number;
}

export class LinkSet {
    private readonly links = new Map<string, Link>();
    /** Idle links without an owner, reused last in first out, so that surplus ones stay idle and are probed. */
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

    /** Pins the link to a session, or unpins it. Must not be called while the link is idle. */
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

    /** Most recently used idle link without an owner. */
    get nextFree(): Link | undefined {
        return this.freeLinks.at(-1);
    }

    get size(): number {
        return this.links.size;
    }

    get runningCount(): number {
        return this.linksRunning;
    }

    /** Number of running statements other than reads on links without an owner. */
    get runningNonReadCount(): number {
        return [...this.links.values()]
            .filter(({ owner, runningRequest }) =>
                owner === undefined && runningRequest !== undefined && !isRead(runningRequest)
            )
            .length;
    }

    get ownedCount(): number {
        return this.linkByOwner.size;
    }

    /** Number of opening or open links without an owner. */
    get unownedCount(): number {
        return [...this.links.values()]
            .filter(link => link.owner === undefined && link.state !== LinkState.Closing)
            .length;
    }

    /** Whether any link is open and not closing. */
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
