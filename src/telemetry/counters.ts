/** Counters and timings, sent to a StatsD agent. */
import { StatsD } from "hot-shots";

/** What the rest of the program counts with. */
export interface Counters extends AsyncDisposable {
    /** Adds to a counter. Tags are few-valued: no request ids, no statement texts. */
    count(name: string, amount?: number, tags?: Readonly<Record<string, string>>): void;
    gauge(name: string, value: number): void;
    /** Records a duration in milliseconds. */
    timing(name: string, durationMs: number, tags?: Readonly<Record<string, string>>): void;
    /** Totals of this process since its start, for `ctl status`. */
    totals(): ReadonlyMap<string, number>;
}

export interface StatsdCountersOptions {
    /** Undefined keeps totals only. */
    readonly agent: { readonly host: string; readonly port: number; } | undefined;
    readonly instanceId: string;
}

/** Sends through hot-shots and keeps totals by name. A lost agent never disturbs the program. */
export class StatsdCounters implements Counters {
    private readonly client: StatsD | undefined;
    private readonly sums = new Map<string, number>();

    constructor({ agent, instanceId }: StatsdCountersOptions) {
        this.client = agent && new StatsD({
            host: agent.host,
            port: agent.port,
            prefix: "jasmineline.",
            globalTags: { instance: instanceId },
            errorHandler: () => this.add("metrics.send_failed", 1),
        });
    }

    count(name: string, amount = 1, tags: Readonly<Record<string, string>> = {}): void {
        this.add(name, amount);
        this.client?.increment(name, amount, tags);
    }

    gauge(name: string, value: number): void {
        this.sums.set(name, value);
        this.client?.gauge(name, value);
    }

    timing(name: string, durationMs: number, tags: Readonly<Record<string, string>> = {}): void {
        this.client?.timing(name, durationMs, tags);
    }

    totals(): ReadonlyMap<string, number> {
        return this.sums;
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await new Promise<void>(resolve => {
            if (this.client === undefined) {
                resolve();
            }
            else {
                this.client.close(() => resolve());
            }
        });
    }

    private add(name: string, amount: number): void {
        this.sums.set(name, (this.sums.get(name) ?? 0) + amount);
    }
}
