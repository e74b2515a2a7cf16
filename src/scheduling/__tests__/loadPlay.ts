/** Plays a load on one server in virtual time: in order of arrival, or by the statement queue and the window. */
import { SeededRandom } from "../../pipeline/seededRandom.ts";
import { Schedule } from "../../session/__tests__/schedule.ts";
import { type ConcurrencyWindow, GradientWindow } from "../concurrencyWindow.ts";
import { retryAfterMs } from "../retryAfter.ts";
import { ServiceTimeEstimate } from "../serviceTimeEstimate.ts";
import { type QueuedStatement, StatementQueue } from "../statementQueue.ts";

/** Statements of one class and workspace, with random pauses between them. */
export interface Demand {
    readonly priority: number;
    readonly workspace: string;
    readonly perSecond: (atMs: number) => number;
    readonly workMs: number;
    readonly objectiveMs: number;
    readonly limitMs: number;
}

export interface Call {
    readonly demand: Demand;
    readonly atMs: number;
    /** Times at which the server got the statement. */
    readonly startsMs: number[];
    servedMs: number | undefined;
    /** Refused by the queue, as not run. */
    refusedMs: number | undefined;
    retryAfterMs: number | undefined;
    /** Failed, or not started, at its deadline. */
    failed: boolean;
}

export interface LoadOptions {
    readonly slots: number;
    readonly demands: readonly Demand[];
    readonly untilMs: number;
    /** Multiplies the work; Infinity while the server is down. */
    readonly slowness?: (atMs: number) => number;
    /** Times at which the server starts again. */
    readonly restartsMs?: readonly number[];
    readonly seed?: number;
}

export interface LoadResult {
    readonly calls: readonly Call[];
    /** Statements in flight, after each start. */
    readonly inFlight: readonly { readonly atMs: number; readonly count: number; readonly window: number; }[];
}

const networkMs = 1;
/** Statements that the server queues before it rejects further ones. */
const serverQueue = 32;
/** Time after which a statement on a server that is down counts as lost. */
const lostAfterMs = 300;
/** Limit of statements in flight in order of arrival: three quarters of 70 connections. */
const firstComeLimit = 52;

type End = "served" | "rejected" | "lost";

class ModelServer {
    private busy = 0;
    private readonly waiting: (() => void)[] = [];
    private readonly schedule: Schedule;
    private readonly options: LoadOptions;

    constructor(schedule: Schedule, options: LoadOptions) {
        this.schedule = schedule;
        this.options = options;
    }

    run(workMs: number, end: (how: End) => void): void {
        this.schedule.after(
            networkMs,
            () => this.accept(workMs, how => this.schedule.after(networkMs, () => end(how))),
        );
    }

    private accept(workMs: number, end: (how: End) => void): void {
        const slowness = this.options.slowness?.(this.schedule.nowMs) ?? 1;
        if (slowness === Infinity) {
            this.schedule.after(lostAfterMs, () => end("lost"));
            this.waiting.shift()?.();
        }
        else if (this.busy < this.options.slots) {
            this.busy += 1;
            this.schedule.after(workMs * slowness, () => {
                this.busy -= 1;
                end("served");
                this.waiting.shift()?.();
            });
        }
        else if (this.waiting.length < serverQueue) {
            this.waiting.push(() => this.accept(workMs, end));
        }
        else {
            end("rejected");
        }
    }
}

interface Waiting extends QueuedStatement {
    readonly call: Call;
}

/** What decides which statement starts. */
interface Dispatcher {
    readonly window: number;
    add(waiting: Waiting, inFlight: number, nowMs: number): void;
    next(nowMs: number): Waiting | undefined;
    remove(id: string): void;
    end(how: End, call: Call, counts: { readonly atStart: number; readonly atEnd: number; }, nowMs: number): void;
    restart(nowMs: number): void;
    costMs(demand: Demand): number;
}

class FirstComeDispatcher implements Dispatcher {
    readonly window = firstComeLimit;
    private waiting: Waiting[] = [];

    add(waiting: Waiting): void {
        this.waiting.push(waiting);
    }

    next(): Waiting | undefined {
        return this.waiting.shift();
    }

    remove(id: string): void {
        this.waiting = this.waiting.filter(waiting => waiting.id !== id);
    }

    end(): void {}

    restart(): void {}

    costMs(): number {
        return 1;
    }
}

class ScheduledDispatcher implements Dispatcher {
    private readonly queue = new StatementQueue<Waiting>();
    private readonly limit: ConcurrencyWindow;
    private readonly times = new ServiceTimeEstimate(10);
    private readonly random = new SeededRandom(7);

    constructor(slots: number) {
        this.limit = new GradientWindow(slots);
    }

    get window(): number {
        return this.limit.size;
    }

    add(waiting: Waiting, inFlight: number, nowMs: number): void {
        const parallelism = this.limit.expectedSize;
        const residualMs = inFlight < this.limit.size ? 0 : this.times.expectedMs("any") / parallelism;
        for (const refused of this.queue.add(waiting, { parallelism, residualMs }, nowMs)) {
            refused.statement.call.refusedMs = nowMs;
            refused.statement.call.retryAfterMs = retryAfterMs(refused.drainMs, this.random);
        }
    }

    next(nowMs: number): Waiting | undefined {
        return this.queue.startNext(() => true, nowMs);
    }

    remove(id: string): void {
        this.queue.remove(id);
    }

    end(
        how: End,
        { demand, startsMs }: Call,
        { atStart, atEnd }: { readonly atStart: number; readonly atEnd: number; },
        nowMs: number,
    ): void {
        const startedMs = startsMs.at(-1)!;
        if (how === "rejected") {
            this.limit.recordRejection(startedMs, nowMs);
        }
        else if (how === "lost") {
            this.limit.recordFailure(startedMs, nowMs);
        }
        else {
            const workKind = `${demand.priority}`;
            const latencyMs = nowMs - startedMs;
            [workKind, "any"].forEach(key => this.times.recordServiceTime(key, latencyMs));
            this.limit.recordAnswer({ workKind, latencyMs, startedMs, inFlightAtStart: atStart, inFlight: atEnd });
        }
    }

    restart(nowMs: number): void {
        this.limit.restart(nowMs);
    }

    costMs({ priority }: Demand): number {
        return this.times.expectedMs(`${priority}`);
    }
}

/** Plays the same arrivals in both ways. */
export function playLoad(options: LoadOptions): { readonly firstCome: LoadResult; readonly scheduled: LoadResult; } {
    return {
        firstCome: play(options, new FirstComeDispatcher()),
        scheduled: play(options, new ScheduledDispatcher(options.slots)),
    };
}

function play(options: LoadOptions, dispatcher: Dispatcher): LoadResult {
    const schedule = new Schedule();
    const server = new ModelServer(schedule, options);
    const calls = arrivals(options);
    const inFlightSeen: { atMs: number; count: number; window: number; }[] = [];
    let inFlight = 0;
    const dispatch = (): void => {
        while (inFlight < dispatcher.window) {
            const waiting = dispatcher.next(schedule.nowMs);
            if (waiting === undefined) {
                return;
            }
            inFlight += 1;
            const { call } = waiting;
            const atStart = inFlight;
            call.startsMs.push(schedule.nowMs);
            inFlightSeen.push({ atMs: schedule.nowMs, count: inFlight, window: dispatcher.window });
            server.run(call.demand.workMs, how => {
                dispatcher.end(how, call, { atStart, atEnd: inFlight }, schedule.nowMs);
                inFlight -= 1;
                if (how === "served" && schedule.nowMs <= call.atMs + call.demand.limitMs) {
                    call.servedMs = schedule.nowMs;
                }
                else {
                    call.failed = true;
                }
                dispatch();
            });
        }
    };
    calls.forEach((call, index) =>
        schedule.at(call.atMs, () => {
            const { demand: { workspace, priority, objectiveMs, limitMs } } = call;
            const id = `c${index}`;
            const objectiveAtMs = call.atMs + objectiveMs;
            const deadlineMs = call.atMs + limitMs;
            const costMs = dispatcher.costMs(call.demand);
            dispatcher.add({ id, workspace, priority, objectiveAtMs, deadlineMs, costMs, call }, inFlight, call.atMs);
            schedule.at(deadlineMs, () => {
                if (call.startsMs.length === 0 && call.refusedMs === undefined) {
                    dispatcher.remove(id);
                    call.failed = true;
                }
            });
            dispatch();
        })
    );
    options.restartsMs?.forEach(atMs => schedule.at(atMs, () => dispatcher.restart(atMs)));
    schedule.advanceTo(options.untilMs + 20_000);
    return { calls, inFlight: inFlightSeen };
}

function arrivals({ demands, untilMs, seed = 1 }: LoadOptions): Call[] {
    const random = new SeededRandom(seed);
    return demands.flatMap(demand => {
        const calls: Call[] = [];
        for (let atMs = 0; atMs < untilMs;) {
            atMs += -Math.log(1 - random.nextFloat()) * 1_000 / demand.perSecond(atMs);
            calls.push({
                demand,
                atMs,
                startsMs: [],
                servedMs: undefined,
                refusedMs: undefined,
                retryAfterMs: undefined,
                failed: false,
            });
        }
        return calls;
    });
}

/** Share of the calls that were served within their latency objective. */
export function shareInTime(calls: readonly Call[]): number {
    const inTime = calls.filter(({ servedMs, atMs, demand }) =>
        servedMs !== undefined && servedMs - atMs <= demand.objectiveMs
    );
    return inTime.length / calls.length;
}
