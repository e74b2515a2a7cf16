/** The commits that this instance has seen acknowledged, and what it tells the leader of a database that is in question. */
import { type AssessmentAsked, FleetKind, type SendFrame } from "../model/fleetMessages.ts";
import { laterPosition, type Position } from "../model/position.ts";
import type { LinkPool } from "./linkPool.ts";
import type { TaskEnded } from "./taskMessages.ts";

export class CommitWitness {
    /** Highest position of a commit seen here, by service. */
    private readonly acknowledged = new Map<string, Position>();

    /** Commits that ran on links of other instances count as well: this one has acknowledged them to its caller. */
    noteResult({ task, reply, fault }: TaskEnded): void {
        if (task.writes && fault === undefined && reply?.position !== undefined) {
            this.noteCommit(task.service, reply.position);
        }
    }

    noteCommit(service: string, position: Position): void {
        const known = this.acknowledged.get(service);
        this.acknowledged.set(service, known === undefined ? position : laterPosition(known, position));
    }

    /** @param pool of the database that is asked about, if there is one */
    assess({ attachmentId, databaseId }: AssessmentAsked, pool: LinkPool | undefined, nowMs: number): SendFrame {
        const pending = [...pool?.links ?? []].flatMap(({ attempt }) => attempt?.sentMs ?? []);
        const oldestMs = pending.length === 0 ? undefined : Math.min(...pending);
        const frame = {
            kind: "assessment" as const,
            databaseId,
            answeredAgeMs: pool?.lastReplyMs === undefined ? undefined : nowMs - pool.lastReplyMs,
            unansweredAgeMs: oldestMs === undefined ? undefined : nowMs - oldestMs,
            acknowledged: pool === undefined ? undefined : this.acknowledged.get(pool.report.service),
        };
        return { kind: FleetKind.SendFrame, attachmentId, frame };
    }
}
