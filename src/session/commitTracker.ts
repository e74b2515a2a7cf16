/**
 * Tracks the latest commits that databases have acknowledged to this instance, and answers questions of control members
 * that prepare a failover: how far the commits of a service reach, and whether a database still answers.
 */
import { type AssessmentRequested, type CommitsSeenFrame, FleetKind, type SendFrame } from "../model/fleetMessages.ts";
import { hasReached, laterPosition, type Position } from "../model/position.ts";
import type { LinkPool } from "./linkPool.ts";
import { isCommit, type TaskEnded } from "./taskMessages.ts";

interface TrackedCommit {
    readonly position: Position;
    /** Time at which the commit was sent to its database, or earlier; undefined when another instance sent it. */
    readonly sentMs: number | undefined;
}

/** What was known of a commit when it was sent. */
interface SentCommit {
    readonly sentMs: number | undefined;
    /** Position that the database's log had reached. */
    readonly knownPosition: Position | undefined;
}

export class CommitTracker {
    /** The commit with the highest position, by service. */
    private readonly highest = new Map<string, TrackedCommit>();
    /** Position that acknowledged commits have certainly reached, by service. */
    private readonly reached = new Map<string, Position>();
    private trackingSinceMs: number | undefined;

    /** Starts to track commits at the first call; later calls have no effect. */
    startOnce(nowMs: number): void {
        this.trackingSinceMs ??= nowMs;
    }

    /** Also records commits that ran on links of other instances, because this one acknowledges them to its callers. */
    recordResult({ task, reply, fault }: TaskEnded): void {
        if (isCommit(task) && fault === undefined && reply?.position !== undefined) {
            this.recordCommit(task.service, reply.position, undefined);
        }
    }

    /**
     * @param position end of the database's log when it answered
     * @param sent undefined if another instance sent the commit to the database
     */
    recordCommit(service: string, position: Position, sent: SentCommit | undefined): void {
        const existing = this.highest.get(service);
        if (existing === undefined || !hasReached(existing.position, position)) {
            this.highest.set(service, { position, sentMs: sent?.sentMs });
        }
        const known = sent?.knownPosition;
        if (known !== undefined && known.term === position.term && known.offset < position.offset) {
            // The commit was given a number after those that the log had when it was sent.
            const least = { term: known.term, offset: known.offset + 1 };
            this.reached.set(service, laterPosition(this.reached.get(service), least));
        }
    }

    /** Includes commits of databases that were removed: a removed database may be the only one that has a commit. */
    commitsSeenFrame(service: string, questionId: string, nowMs: number): CommitsSeenFrame {
        const highestCommit = this.highest.get(service);
        return {
            kind: "commits_seen",
            questionId,
            service,
            highest: highestCommit?.position,
            reached: this.reached.get(service),
            sentAgeMs: highestCommit?.sentMs === undefined ? undefined : nowMs - highestCommit.sentMs,
            watchedMs: nowMs - (this.trackingSinceMs ?? nowMs),
        };
    }

    /** @param pool links to the database in question, if this instance has a pool for it */
    assessmentFrame(
        { attachmentId, databaseId }: AssessmentRequested,
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
