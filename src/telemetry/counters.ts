/** Counters, sent to a StatsD agent. */
import { StatsD } from "hot-shots";

/** What the rest of the program counts with. */
export interface Counters extends AsyncDisposable {
    /** Adds to a counter. Names are few: no request ids, no statement texts. */
    count(name: string, amount?: number): void;
    gauge(name: string, value: number): void;
    /** Totals of this process since its start, for `ctl status`. */
    totals(): ReadonlyMap<string, number>;
}

export interface StatsdCountersOptions {
    /** Undefined keeps totals only. */
    readonly agent: { readonly host: string; readonly port: number; } | undefined;
    readonly instanceId: string;
}

// Counting is part of every event, so counts are summed here and sent as differences.
const flushIntervalMs = 1_000;

/** Sends through hot-shots once a second. A lost agent never disturbs the program. */
export class StatsdCounters implements Counters {
    private readonly client: StatsD | undefined;
    private readonly totalsByName = new Map<string, number>();
    private readonly unsentByName = new Map<string, number>();
    private readonly timer: NodeJS.Timeout | undefined;

    constructor({ agent, instanceId }: StatsdCountersOptions) {
        if (agent === undefined) {
            return;
        }
        this.client = new StatsD({
            host: agent.host,
            port: agent.port,
            prefix: "jasmineline.",
            globalTags: { instance: instanceId },
            errorHandler: () => this.add("metrics.send_failed", 1),
        });
        this.timer = setInterval(() => this.flush(), flushIntervalMs).unref();
    }

    count(name: string, amount = 1): void {
        this.add(name, amount);
        if (this.client !== undefined) {
            this.unsentByName.set(name, (this.unsentByName.get(name) ?? 0) + amount);
        }
    }

    gauge(name: string, value: number): void {
        this.totalsByName.set(name, value);
        this.client?.gauge(name, value);
    }

    totals(): ReadonlyMap<string, number> {
        return this.totalsByName;
    }

    async [Symbol.asyncDispose](): Promise<void> {
        clearInterval(this.timer);
        this.flush();
        const { client } = this;
        if (client !== undefined) {
            await new Promise<void>(resolve => client.close(() => resolve()));
        }
    }

    private flush(): void {
        this.unsentByName.forEach((amount, name) => this.client?.increment(name, amount));
        this.unsentByName.clear();
    }

    private add(name: string, amount: number): void {
        this.totalsByName.set(name, (this.totalsByName.get(name) ?? 0) + amount);
    }
}
