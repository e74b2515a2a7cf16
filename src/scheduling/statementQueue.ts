/**
 * Statements that wait for one database, in the order in which they start: by priority; within a priority those that can
 * still meet their latency objective before the others; among these a fair share for each workspace.
 */
import { FairQueue } from "./fairQueue.ts";

export interface QueuedStatement {
    /** Unique in the queue. */
    readonly id: string;
    readonly workspace: string;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Time at which the statement misses its latency objective. */
    readonly objectiveAtMs: number;
    readonly deadlineMs: number;
    /** Expected time from start to end, above zero. */
    readonly costMs: number;
}

/** How fast the queue drains. */
export interface QueueDrain {
    /** Number of statements that run at once. */
    readonly parallelism: number;
    /** Expected time until the next statement can start if none is ahead of it. */
    readonly residualMs: number;
}

export const RefusalReason = {
    /** The statement itself would start too late. */
    CannotStartInTime: "cannot_start_in_time",
    /** More urgent statements, or statements of workspaces that are within their share, took its place. */
    Displaced: "displaced",
} as const;
export type RefusalReason = typeof RefusalReason[keyof typeof RefusalReason];

/** A statement that was removed from the queue because it cannot start before its deadline. */
export interface RefusedStatement<Statement> {
    readonly statement: Statement;
    readonly reason: RefusalReason;
    /** Time until it would have started. */
    readonly waitMs: number;
    /** Part of `waitMs` that is beyond the latest start. */
    readonly lateMs: number;
}

/**
 * Least urgent priority that the queue distinguishes; also that of statements whose priority is unknown. Limits the
 * number of lanes, because priorities arrive from other instances.
 */
export const leastUrgentPriority = 15;

/**
 * A lane gets the next start that it can use after so many starts of more urgent lanes since its last one. This bounds
 * the wait of every lane, and leaves each at least a seventeenth of the starts.
 */
export const maximumPassOvers = 16;

/** Service time that a workspace gets per turn; about one statement. */
const quantumMs = 20;

/** Statements of one priority that can, or can no longer, meet their objective. */
interface Lane<Statement> {
    readonly rank: number;
    readonly statements: FairQueue<Statement>;
    /** Number of starts of more urgent lanes since the last start of this one. */
    passOvers: number;
}

export class StatementQueue<Statement extends QueuedStatement> {
    /** Most urgent first; none is empty. */
    private lanes: Lane<Statement>[] = [];
    private readonly byId = new Map<string, { readonly statement: Statement; lane: Lane<Statement>; }>();
    private readonly counts = new Map<string, number>();

    get size(): number {
        return this.byId.size;
    }

    get statements(): readonly Statement[] {
        return this.lanes.flatMap(lane => lane.statements.items);
    }

    has(id: string): boolean {
        return this.byId.has(id);
    }

    /** Number of statements of a workspace. */
    countOf(workspace: string): number {
        return this.counts.get(workspace) ?? 0;
    }

    add(statement: Statement, nowMs: number): void {
        this.counts.set(statement.workspace, this.countOf(statement.workspace) + 1);
        const lane = this.enqueue(statement, isLate(statement, nowMs));
        this.byId.set(statement.id, { statement, lane });
    }

    remove(id: string): Statement | undefined {
        const queued = this.byId.get(id);
        if (queued === undefined) {
            return undefined;
        }
        const { statement, lane } = queued;
        lane.statements.remove(statement.workspace, statement);
        this.forget(statement);
        this.removeIfEmpty(lane);
        return statement;
    }

    /**
     * Removes and returns the next statement that can start; undefined if there is none.
     * @param canStart called at most once for the first statement of each workspace of each lane
     */
    startNext(canStart: (statement: Statement) => boolean, nowMs: number): Statement | undefined {
        this.demoteLate(nowMs);
        for (const lane of this.startOrder()) {
            const statement = lane.statements.dequeueFirst(canStart);
            if (statement !== undefined) {
                lane.passOvers = 0;
                this.lanes.filter(other => other.rank > lane.rank).forEach(other => other.passOvers += 1);
                this.forget(statement);
                this.removeIfEmpty(lane);
                return statement;
            }
        }
        return undefined;
    }

    /**
     * Removes and returns the statements that cannot start before their deadline since `added` was enqueued: in each lane
     * that waits for it, the newest ones of the workspace that is furthest above its share.
     */
    refuseHopeless(added: Statement, drain: QueueDrain, nowMs: number): readonly RefusedStatement<Statement>[] {
        const ownLane = this.byId.get(added.id)?.lane;
        if (ownLane === undefined) {
            return [];
        }
        const refused: RefusedStatement<Statement>[] = [];
        let aheadMs = 0;
        for (const lane of [...this.lanes]) {
            if (lane.rank >= ownLane.rank) {
                refused.push(...this.refuseFromLargest(lane, added, aheadMs, drain, nowMs));
            }
            aheadMs += lane.statements.totalCostMs;
        }
        if (this.byId.has(added.id)) {
            const hopeless = this.hopeless(added, this.costAheadMs(added), drain, added, nowMs);
            if (hopeless !== undefined) {
                refused.push(hopeless);
                this.remove(added.id);
            }
        }
        return refused;
    }

    /** Expected time until a new statement of this priority starts that can meet its objective. */
    expectedWaitMs(priority: number, { parallelism, residualMs }: QueueDrain): number {
        const limitRank = laneRank(priority, false);
        let aheadMs = 0;
        for (const lane of this.lanes) {
            if (lane.rank > limitRank) {
                break;
            }
            aheadMs += lane.statements.totalCostMs;
        }
        return aheadMs / Math.max(1, parallelism) + residualMs;
    }

    /** Least urgent priority with a waiting statement; 0 if none waits. */
    get lowestPriority(): number {
        return Math.floor((this.lanes.at(-1)?.rank ?? 0) / 2);
    }

    private refuseFromLargest(
        lane: Lane<Statement>,
        added: Statement,
        aheadMs: number,
        drain: QueueDrain,
        nowMs: number,
    ): readonly RefusedStatement<Statement>[] {
        const refused: RefusedStatement<Statement>[] = [];
        for (;;) {
            const newest = lane.statements.newestOfLargest();
            const hopeless = newest === undefined
                ? undefined
                : this.hopeless(
                    newest,
                    aheadMs + lane.statements.costAheadOfNewestMs(newest.workspace, newest.costMs),
                    drain,
                    added,
                    nowMs,
                );
            if (hopeless === undefined) {
                return refused;
            }
            refused.push(hopeless);
            this.remove(hopeless.statement.id);
        }
    }

    private hopeless(
        statement: Statement,
        aheadMs: number,
        { parallelism, residualMs }: QueueDrain,
        added: Statement,
        nowMs: number,
    ): RefusedStatement<Statement> | undefined {
        const waitMs = aheadMs / Math.max(1, parallelism) + residualMs;
        const lateMs = nowMs + waitMs + statement.costMs - statement.deadlineMs;
        if (lateMs <= 0) {
            return undefined;
        }
        const reason = statement === added ? RefusalReason.CannotStartInTime : RefusalReason.Displaced;
        return { statement, reason, waitMs, lateMs: Math.min(lateMs, waitMs) };
    }

    /** Service time of all statements that are to start before a queued one. */
    private costAheadMs(statement: Statement): number {
        const { lane } = this.byId.get(statement.id)!;
        return this.lanes.filter(({ rank }) => rank < lane.rank)
            .reduce(
                (sumMs, { statements }) => sumMs + statements.totalCostMs,
                lane.statements.costAheadOfNewestMs(statement.workspace, statement.costMs),
            );
    }

    /** Lanes that were passed over too often, longest first, and then the others by urgency. */
    private startOrder(): readonly Lane<Statement>[] {
        const overdue = this.lanes.filter(({ passOvers }) => passOvers >= maximumPassOvers);
        return overdue.length === 0
            ? this.lanes
            : [...overdue.sort((left, right) => right.passOvers - left.passOvers), ...this.lanes];
    }

    private demoteLate(nowMs: number): void {
        for (const lane of this.lanes.filter(({ rank }) => rank % 2 === 0)) {
            for (const statement of lane.statements.removeHeads(head => isLate(head, nowMs))) {
                this.byId.get(statement.id)!.lane = this.enqueue(statement, true);
            }
            this.removeIfEmpty(lane);
        }
    }

    private enqueue(statement: Statement, late: boolean): Lane<Statement> {
        const rank = laneRank(statement.priority, late);
        let lane = this.lanes.find(existing => existing.rank === rank);
        if (lane === undefined) {
            lane = { rank, statements: new FairQueue(quantumMs), passOvers: 0 };
            this.lanes = [...this.lanes, lane].sort((left, right) => left.rank - right.rank);
        }
        lane.statements.enqueue(statement.workspace, statement, statement.costMs);
        return lane;
    }

    private forget({ id, workspace }: Statement): void {
        this.byId.delete(id);
        const count = this.countOf(workspace) - 1;
        if (count > 0) {
            this.counts.set(workspace, count);
        }
        else {
            this.counts.delete(workspace);
        }
    }

    private removeIfEmpty(lane: Lane<Statement>): void {
        if (lane.statements.isEmpty) {
            this.lanes = this.lanes.filter(other => other !== lane);
        }
    }
}

function laneRank(priority: number, late: boolean): number {
    return 2 * Math.min(leastUrgentPriority, Math.max(0, Math.floor(priority))) + Number(late);
}

/** Whether a statement that started now would miss its objective. */
function isLate({ objectiveAtMs, costMs }: QueuedStatement, nowMs: number): boolean {
    return nowMs + costMs > objectiveAtMs;
}
