/** The commits that this instance has seen acknowledged, and what it tells the leader of a service in question. */
import { type AssessmentRequested, type CommitsSeenFrame, FleetKind, type SendFrame } from "../model/fleetMessages.ts";
import { hasReached, type Position } from "../model/position.ts";
import type { LinkPool } from "./linkPool.ts";
import type { TaskEnded } from "./taskMessages.ts";

interface SeenCommit {
    readonly position: Position;
    /** Not after the commit was sent to its database; undefined when another instance sent it. */
    readonly sentMs: number | undefined;
}

export class CommitWitness {
    /** The highest commit seen here, by service. */
    private readonly highest = new Map<string, SeenCommit>();
    private watchingSinceMs: number | undefined;

    /** Called for each message, the first of which starts the watch. */
    watch(nowMs: number): void {
        this.watchingSinceMs ??= nowMs;
    }

    /** Commits that ran on links of other instances count as well: this one has acknowledged them to its caller. */
    noteResult({ task, reply, fault }: TaskEnded): void {
        if (task.writes && fault === undefined && reply?.position !== undefined) {
            this.noteCommit(task.service, reply.position, undefined);
        }
    }

    /** @param sentMs when the commit was sent to its database, or earlier; undefined if another instance sent it */
    noteCommit(service: string, position: Position, sentMs: number | undefined): void {
        const known = this.highest.get(service);
        if (known === undefined || !hasReached(known.position, position)) {
            this.highest.set(service, { position, sentMs });
        }
    }

    /** Doesn't depend on the databases that are known here: one that is gone may have been the only holder of a commit. */
    commitsSeen(service: string, questionId: string, nowMs: number): CommitsSeenFrame {
        const seen = this.highest.get(service);
        return {
            kind: "commits_seen",
            questionId,
            service,
            highest: seen?.position,
            sentAgeMs: seen?.sentMs === undefined ? undefined : nowMs - seen.sentMs,
            watchedMs: nowMs - (this.watchingSinceMs ?? nowMs),
        };
    }

    /** @param pool of the database that is asked about, if there is one */
    assess({ attachmentId, databaseId }: AssessmentRequested, pool: LinkPool | undefined, nowMs: number): SendFrame {
        const pending = [...pool?.links ?? []].flatMap(({ attempt }) => attempt?.sentMs ?? []);
        const oldestMs = pending.length === 0 ? undefined : Math.min(...pending);
        const frame = {
            kind: "assessment" as const,
            databaseId,
            answeredAgeMs: pool?.lastReplyMs === undefined ? undefined : nowMs - pool.lastReplyMs,
            unansweredAgeMs: oldestMs === undefined ? undefined : nowMs - oldestMs,
        };
        return { kind: FleetKind.SendFrame, attachmentId, frame };
    }
}
