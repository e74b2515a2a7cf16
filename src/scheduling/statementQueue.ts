/**
 * Statements that wait for one database, in the order in which they start: by priority; within a priority those that can
 * still meet their latency objective before the others; among these a fair share for each workspace.
 */
import { ArrivalLoad } from "./arrivalLoad.ts";
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

/** What becomes of a statement if it is added. */
export interface QueuePreview {
    /** Expected time until it starts. */
    readonly waitMs: number;
    /** It would be refused, because it cannot start before its deadline. */
    readonly isHopeless: boolean;
    /** Another statement of its workspace has to start before it. */
    readonly isBehindOwn: boolean;
}

/** A statement that was removed from the queue because it cannot start before its deadline. */
export interface RefusedStatement<Statement> {
    readonly statement: Statement;
    readonly reason: RefusalReason;
    /** Time in which the statements drain that go before a new one of its priority and workspace. */
    readonly drainMs: number;
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

/** Service time in the lane of a statement that runs before it. */
interface WorkAhead {
    readonly workspace: string;
    /** Of all workspaces, as queued now. */
    readonly laneMs: number;
    /** Of its own workspace. */
    readonly ownMs: number;
    /** Number of workspaces in the lane. */
    readonly flowCount: number;
}

export class StatementQueue<Statement extends QueuedStatement> {
    /** Most urgent first; none is empty. */
    private lanes: Lane<Statement>[] = [];
    private readonly byId = new Map<string, { readonly statement: Statement; lane: Lane<Statement>; }>();
    private readonly counts = new Map<string, number>();
    private readonly arrivals = new ArrivalLoad();

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

    /**
     * Adds a statement. Removes and returns those that cannot start before their deadline because of it: itself, or in
     * each lane that waits for it the newest ones of the workspace that is furthest above its share.
     */
    add(statement: Statement, drain: QueueDrain, nowMs: number): readonly RefusedStatement<Statement>[] {
        const { id, workspace } = statement;
        const lane = this.enqueue(statement, isLate(statement, nowMs + this.waitOfNewMs(statement, drain, nowMs)));
        this.byId.set(id, { statement, lane });
        this.counts.set(workspace, this.countOf(workspace) + 1);
        const refused = this.refuseHopeless(statement, lane, drain, nowMs);
        if (this.byId.has(id)) {
            this.arrivals.record(lane.rank, workspace, statement.costMs, nowMs);
        }
        return refused;
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

    /** What `add` would expect of a statement, without regard to those that it would displace. */
    preview(statement: Statement, drain: QueueDrain, nowMs: number): QueuePreview {
        const { workspace, priority, costMs, deadlineMs } = statement;
        const isTooLate = isLate(statement, nowMs + this.waitOfNewMs(statement, drain, nowMs));
        const rank = laneRank(priority, isTooLate);
        const statements = this.lanes.find(lane => lane.rank === rank)?.statements;
        const ownMs = statements?.costOfMs(workspace) ?? 0;
        const ahead = {
            workspace,
            laneMs: statements?.costAheadMs(workspace, costMs) ?? 0,
            ownMs,
            flowCount: (statements?.workspaceCount ?? 0) + Number(ownMs === 0),
        };
        const waitMs = this.waitMs(rank, ahead, drain, nowMs);
        return {
            waitMs,
            isHopeless: waitMs > 0 && nowMs + waitMs + costMs > deadlineMs,
            isBehindOwn: ownMs > 0,
        };
    }

    /** Expected time until a new statement of this priority starts that can meet its objective. */
    expectedWaitMs(priority: number, drain: QueueDrain, nowMs: number): number {
        const rank = laneRank(priority, false);
        const laneMs = this.lanes.find(lane => lane.rank === rank)?.statements.totalCostMs ?? 0;
        return this.waitMs(rank, { workspace: "", laneMs, ownMs: 0, flowCount: 1 }, drain, nowMs);
    }

    /** Least urgent priority with a waiting statement; 0 if none waits. */
    get lowestPriority(): number {
        return Math.floor((this.lanes.at(-1)?.rank ?? 0) / 2);
    }

    /** Expected wait of a new statement that can meet its objective. */
    private waitOfNewMs({ workspace, priority, costMs }: Statement, drain: QueueDrain, nowMs: number): number {
        const rank = laneRank(priority, false);
        const statements = this.lanes.find(lane => lane.rank === rank)?.statements;
        const ahead = {
            workspace,
            laneMs: statements?.costAheadMs(workspace, costMs) ?? 0,
            ownMs: statements?.costOfMs(workspace) ?? 0,
            flowCount: statements?.workspaceCount ?? 0,
        };
        return this.waitMs(rank, ahead, drain, nowMs);
    }

    private refuseHopeless(
        added: Statement,
        addedTo: Lane<Statement>,
        drain: QueueDrain,
        nowMs: number,
    ): readonly RefusedStatement<Statement>[] {
        const refused: RefusedStatement<Statement>[] = [];
        const refuseNewest = (lane: Lane<Statement>, newest: Statement | undefined): boolean => {
            if (newest === undefined || !this.isHopeless(newest, lane, drain, nowMs)) {
                return false;
            }
            const reason = newest === added ? RefusalReason.CannotStartInTime : RefusalReason.Displaced;
            this.remove(newest.id);
            refused.push({ statement: newest, reason, drainMs: this.waitOfNewMs(newest, drain, nowMs) });
            return true;
        };
        for (const lane of this.lanes.filter(({ rank }) => rank >= addedTo.rank)) {
            while (refuseNewest(lane, lane.statements.newestOfLargest())) {
                // The next one may have become hopeless too.
            }
        }
        if (this.byId.has(added.id)) {
            refuseNewest(addedTo, added);
        }
        return refused;
    }

    /** @param newest the newest statement of its workspace in the lane */
    private isHopeless(
        newest: Statement,
        { rank, statements }: Lane<Statement>,
        drain: QueueDrain,
        nowMs: number,
    ): boolean {
        const { workspace, costMs, deadlineMs } = newest;
        const waitMs = this.waitMs(
            rank,
            {
                workspace,
                laneMs: statements.costAheadOfNewestMs(workspace, costMs),
                ownMs: statements.costOfMs(workspace) - costMs,
                flowCount: statements.workspaceCount,
            },
            drain,
            nowMs,
        );
        // What starts at once is the only way to learn that the expected time is wrong.
        return waitMs > 0 && nowMs + waitMs + costMs > deadlineMs;
    }

    /**
     * Expected wait of a statement. What arrives meanwhile in more urgent lanes goes first, and what other workspaces bring
     * takes its share of the lane.
     */
    private waitMs(
        rank: number,
        { workspace, laneMs, ownMs, flowCount }: WorkAhead,
        { parallelism, residualMs }: QueueDrain,
        nowMs: number,
    ): number {
        const urgentMs = this.costOfLanesBeforeMs(rank);
        if (urgentMs + laneMs === 0) {
            return residualMs;
        }
        const slots = Math.max(1, parallelism);
        const laneSlots = Math.max(slots / (maximumPassOvers + 1), slots - this.arrivals.before(rank, nowMs));
        const ownSlots = Math.max(
            laneSlots / Math.max(1, flowCount),
            laneSlots - this.arrivals.beside(rank, workspace, nowMs),
        );
        return urgentMs / laneSlots + Math.max(laneMs / laneSlots, ownMs / ownSlots) + residualMs;
    }

    private costOfLanesBeforeMs(rank: number): number {
        let sumMs = 0;
        for (const lane of this.lanes) {
            if (lane.rank >= rank) {
                break;
            }
            sumMs += lane.statements.totalCostMs;
        }
        return sumMs;
    }

    /** Lanes that were passed over too often, longest first, and then the others by urgency. */
    private startOrder(): readonly Lane<Statement>[] {
        const overdue = this.lanes.filter(({ passOvers }) => passOvers >= maximumPassOvers);
        if (overdue.length === 0) {
            return this.lanes;
        }
        const others = this.lanes.filter(lane => !overdue.includes(lane));
        return [...overdue.sort((left, right) => right.passOvers - left.passOvers), ...others];
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
