/** The commits that this instance has seen acknowledged, and what it tells the leader of a service in question. */
import { type AssessmentAsked, type CommitsSeenFrame, FleetKind, type SendFrame } from "../model/fleetMessages.ts";
import { hasReached, type Position } from "../model/position.ts";
import type { LinkPool } from "./linkPool.ts";
import type { TaskEnded } from "./taskMessages.ts";

interface TrackedCommit {
    readonly position: Position;
    /** Not after the commit was sent to its database; undefined when another instance sent it. */
    readonly sentMs: number | undefined;
}

export class CommitTracker {
    /** The highest commit seen here, by service. */
    private readonly highest = new Map<string, TrackedCommit>();
    private trackingSinceMs: number | undefined;

    /** Called for each message, the first of which starts the watch. */
    startOnce(nowMs: number): void {
        this.trackingSinceMs ??= nowMs;
    }

    /** Commits that ran on links of other instances count as well: this one has acknowledged them to its caller. */
    recordResult({ task, reply, fault }: TaskEnded): void {
        if (task.writes && fault === undefined && reply?.position !== undefined) {
            this.recordCommit(task.service, reply.position, undefined);
        }
    }

    /** @param sentMs when the commit was sent to its database, or earlier; undefined if another instance sent it */
    recordCommit(service: string, position: Position, sentMs: number | undefined): void {
        const existing = this.highest.get(service);
        if (existing === undefined || !hasReached(existing.position, position)) {
            this.highest.set(service, { position, sentMs });
        }
    }

    /** Doesn't depend on the databases that are known here: one that is gone may have been the only holder of a commit. */
    commitsSeenFrame(service: string, questionId: string, nowMs: number): CommitsSeenFrame {
        const highestCommit = this.highest.get(service);
        return {
            kind: "commits_seen",
            questionId,
            service,
            highest: highestCommit?.position,
            sentAgeMs: highestCommit?.sentMs === undefined ? undefined : nowMs - highestCommit.sentMs,
            watchedMs: nowMs - (this.trackingSinceMs ?? nowMs),
        };
    }

    /** @param pool of the database that is asked about, if there is one */
    assessmentFrame(
        { attachmentId, databaseId }: AssessmentAsked,
        pool: LinkPool | undefined,
        nowMs: number,
    ): SendFrame {
        const unansweredSentMs = [...pool?.links ?? []].flatMap(({ attempt }) => attempt?.sentMs ?? []);
        const oldestSentMs = unansweredSentMs.length === 0 ? undefined : Math.min(...unansweredSentMs);
        const frame = {
            kind: "assessment" as const,
            databaseId,
            answeredAgeMs: pool?.lastReplyAtMs === undefined ? undefined : nowMs - pool.lastReplyAtMs,
            unansweredAgeMs: oldestSentMs === undefined ? undefined : nowMs - oldestSentMs,
        };
        return { kind: FleetKind.SendFrame, attachmentId, frame };
    }
}
