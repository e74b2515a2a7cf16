/** Discrete-event simulation: virtual time for several event loops, each with its own clock. */
import { DeadlineQueue, setDeadline } from "../src/pipeline/deadlineQueue.ts";
import type { Clock } from "../src/pipeline/eventLoop.ts";
import type { Message } from "../src/pipeline/message.ts";

interface ScheduledAction extends Message {
    readonly run: () => void;
}

/** Runs actions in order of time; actions with equal times run in the order in which they were added. */
export class Simulation {
    private readonly queue = new DeadlineQueue();
    private timeMs = 0;
    private nextKey = 0;

    get nowMs(): number {
        return this.timeMs;
    }

    at(timeMs: number, run: () => void): void {
        const action: ScheduledAction = { kind: "action", run };
        this.queue.apply(setDeadline(`${this.nextKey++}`, Math.max(timeMs, this.timeMs), action));
    }

    after(delayMs: number, run: () => void): void {
        this.at(this.timeMs + delayMs, run);
    }

    runUntil(untilMs: number): void {
        for (let dueMs = this.queue.earliestAtMs(); dueMs !== undefined && dueMs <= untilMs;) {
            this.timeMs = dueMs;
            (this.queue.popDue(dueMs) as ScheduledAction).run();
            dueMs = this.queue.earliestAtMs();
        }
        this.timeMs = untilMs;
    }
}

/** Clock of one instance; with a `speed` of 1.1 it runs 10% fast. */
export class InstanceClock implements Clock {
    private readonly simulation: Simulation;
    private readonly speed: number;
    private readonly offsetMs: number;
    private wakeUpNumber = 0;

    constructor(simulation: Simulation, speed: number, offsetMs: number) {
        this.simulation = simulation;
        this.speed = speed;
        this.offsetMs = offsetMs;
    }

    nowMs(): number {
        return this.offsetMs + this.simulation.nowMs * this.speed;
    }

    /** Converts simulation time to the local time of this clock. */
    toLocalMs(simulationMs: number): number {
        return this.offsetMs + simulationMs * this.speed;
    }

    runSoon(run: () => void): void {
        this.simulation.after(0, run);
    }

    scheduleWakeUp(atMs: number, run: () => void): void {
        const number = ++this.wakeUpNumber;
        // Rounded up, because a wake-up that is early by a floating-point error would be rescheduled endlessly.
        const atSimulationMs = Math.ceil((atMs - this.offsetMs) / this.speed * 1_000 + 0.001) / 1_000;
        this.simulation.at(atSimulationMs, () => {
            if (number === this.wakeUpNumber) {
                run();
            }
        });
    }

    cancelWakeUp(): void {
        this.wakeUpNumber++;
    }
}
