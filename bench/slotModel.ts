/**
 * Model of one database group in virtual time: slots, replication lag, and the floor of each caller (the time of its
 * last write, which its reads must see). Used for baselines only; it runs none of the proxy's filters.
 */
import type { SeededRandom } from "../src/pipeline/seededRandom.ts";
import { percentile } from "./rateFigures.ts";
import { Simulation } from "./simulation.ts";
import type { SlotDatabase, SlotPolicy, SlotRequest } from "./slotPolicy.ts";

export interface SlotLoad {
    readonly slots: number;
    readonly replicas: number;
    readonly lagMs: number;
    readonly statementsPerSecond: number;
    readonly readShare: number;
    readonly callers: number;
    readonly runDurationMs: number;
}

/** A group of the user "duinplank" with replicas that lag by 1 s; rate, mix and callers are assumptions. */
export const laggingLoad: SlotLoad = {
    slots: 3,
    replicas: 2,
    lagMs: 1_000,
    statementsPerSecond: 300,
    readShare: 0.8,
    callers: 200,
    runDurationMs: 20_000,
};

export interface SlotFigures {
    readonly replicaReadShare: number;
    readonly staleReads: number;
    readonly missedDeadlines: number;
    readonly waitingP50Ms: number;
    readonly waitingP99Ms: number;
}

/** Assumed mean service times; a write also waits for a majority. */
const meanReadDurationMs = 4;
const meanWriteDurationMs = 8;
const waitingTargetMs = 2_000;
const maximumAgeMs = 1_500;

interface QueuedDatabase extends SlotDatabase {
    busySlots: number;
    readonly queue: SlotRequest[];
}

export class SlotModel {
    private readonly simulation = new Simulation();
    private readonly databases: readonly QueuedDatabase[];
    private readonly lastWriteAtMs: number[];
    private readonly waitingTimesMs: number[] = [];
    private reads = 0;
    private replicaReads = 0;
    private staleReads = 0;
    private missedDeadlineCount = 0;
    private readonly load: SlotLoad;
    private readonly policy: SlotPolicy;
    private readonly random: SeededRandom;

    constructor(load: SlotLoad, policy: SlotPolicy, random: SeededRandom) {
        this.load = load;
        this.policy = policy;
        this.random = random;
        this.lastWriteAtMs = Array.from({ length: load.callers }, () => -Infinity);
        this.databases = Array.from({ length: 1 + load.replicas }, (_, index) => {
            const queue: SlotRequest[] = [];
            const lagMs = index === 0 ? 0 : load.lagMs;
            return {
                isPrimary: index === 0,
                slots: load.slots,
                busySlots: 0,
                lagMs,
                queue,
                get waitingCount() {
                    return queue.length;
                },
            };
        });
    }

    run(): SlotFigures {
        const { statementsPerSecond, runDurationMs } = this.load;
        for (let id = 0; id < statementsPerSecond * runDurationMs / 1_000; id++) {
            this.simulation.at(this.random.nextFloat() * runDurationMs, () => this.handleArrival(id));
        }
        this.simulation.runUntil(runDurationMs + waitingTargetMs);
        const waitingTimesMs = this.waitingTimesMs.sort((left, right) => left - right);
        return {
            replicaReadShare: this.replicaReads / this.reads,
            staleReads: this.staleReads,
            missedDeadlines: this.missedDeadlineCount,
            waitingP50Ms: percentile(waitingTimesMs, 0.5),
            waitingP99Ms: percentile(waitingTimesMs, 0.99),
        };
    }

    private handleArrival(id: number): void {
        const nowMs = this.simulation.nowMs;
        const caller = this.random.nextInteger(this.load.callers);
        const request: SlotRequest = {
            id,
            workspace: `workspace${caller % 8}`,
            isRead: this.random.nextFloat() < this.load.readShare,
            arrivedAtMs: nowMs,
            deadlineMs: nowMs + waitingTargetMs,
            floorAtMs: this.lastWriteAtMs[caller]!,
            maximumAgeMs,
        };
        const database = this.databases[this.policy.chooseDatabase(request, this.databases, nowMs)]!;
        database.queue.push(request);
        if (!request.isRead) {
            // The caller sends its next statement after the answer, so the end of the write serves as its position.
            this.lastWriteAtMs[caller] = nowMs + meanWriteDurationMs;
        }
        this.startNext(database);
    }

    private startNext(database: QueuedDatabase): void {
        while (database.busySlots < database.slots && database.queue.length > 0) {
            const nowMs = this.simulation.nowMs;
            const [request] = database.queue.splice(this.policy.chooseNext(database.queue, nowMs), 1);
            if (request!.deadlineMs < nowMs) {
                this.missedDeadlineCount++;
                continue;
            }
            this.recordStart(request!, database, nowMs);
            database.busySlots++;
            this.simulation.after(
                -Math.log(1 - this.random.nextFloat()) * (request!.isRead ? meanReadDurationMs : meanWriteDurationMs),
                () => {
                    database.busySlots--;
                    this.startNext(database);
                },
            );
        }
    }

    private recordStart(request: SlotRequest, database: QueuedDatabase, nowMs: number): void {
        this.waitingTimesMs.push(nowMs - request.arrivedAtMs);
        if (request.isRead) {
            this.reads++;
            this.replicaReads += database.isPrimary ? 0 : 1;
            const missesOwnWrite = nowMs - database.lagMs < Math.min(request.floorAtMs, nowMs);
            this.staleReads += missesOwnWrite || database.lagMs > request.maximumAgeMs ? 1 : 0;
        }
    }
}
