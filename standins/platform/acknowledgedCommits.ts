/** Commits that clients saw acknowledged, and which of them a read has to see. */
import type { ClientSession } from "./clientSession.ts";
import type { Commit, ReplicatedLog } from "./replicatedLog.ts";

/** Which commits reads on a route see: all, those older than an age, or also all of the session. */
export type RouteKind =
    | { readonly name: "primary"; }
    | { readonly name: "bounded" | "own"; readonly maximumAgeMs: number; };

export interface Acknowledgement {
    readonly commit: Commit;
    readonly session: ClientSession;
    readonly atMs: number;
}

export interface ReadScope {
    readonly session: ClientSession;
    readonly kind: RouteKind;
    /** Time of the first byte of the read or its transaction. */
    readonly startedAtMs: number;
}

export class AcknowledgedCommits {
    private readonly received: Acknowledgement[] = [];
    /** In the order of their times, each with the newest commit acknowledged until then. */
    private all: Acknowledgement[] = [];
    private readonly newestOf = new Map<ClientSession, Acknowledgement[]>();

    get newest(): Commit | undefined {
        return this.all.at(-1)?.commit;
    }

    add(acknowledgement: Acknowledgement): void {
        this.received.push(acknowledgement);
        this.index(acknowledgement);
    }

    /** Forgets commits that a promotion has dropped. */
    drop(commits: readonly Commit[]): void {
        const dropped = new Set(commits);
        const kept = this.received.filter(({ commit }) => !dropped.has(commit));
        if (kept.length < this.received.length) {
            this.all = [];
            this.newestOf.clear();
            this.received.splice(0, this.received.length, ...kept);
            kept.forEach(acknowledgement => this.index(acknowledgement));
        }
    }

    /** Returns a commit that a read must see and that a log does not show. */
    missingIn(log: ReplicatedLog, { session, kind, startedAtMs }: ReadScope): Commit | undefined {
        const ageMs = kind.name === "primary" ? 0 : kind.maximumAgeMs;
        const own = kind.name === "own" ? this.newestOf.get(session) ?? [] : [];
        return [lastBefore(this.all, startedAtMs - ageMs), lastBefore(own, startedAtMs)]
            .find(commit => commit !== undefined && !log.shows(commit));
    }

    private index(acknowledgement: Acknowledgement): void {
        const ofSession = this.newestOf.get(acknowledgement.session) ?? [];
        this.newestOf.set(acknowledgement.session, ofSession);
        push(this.all, acknowledgement);
        push(ofSession, acknowledgement);
    }
}

/** Commits are numbered as one chain, so the newest stands for all before it. */
function push(list: Acknowledgement[], { commit, session, atMs }: Acknowledgement): void {
    const newest = list.at(-1)?.commit;
    list.push({ commit: newest !== undefined && newest.number > commit.number ? newest : commit, session, atMs });
}

function lastBefore(list: readonly Acknowledgement[], timeMs: number): Commit | undefined {
    return list.findLast(({ atMs }) => atMs < timeMs)?.commit;
}
