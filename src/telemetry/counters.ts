/** Counters and gauges, sent to a StatsD agent. */
import { StatsD } from "hot-shots";

/** Interface through which the other parts of the program report counters and gauges. */
export interface Counters extends AsyncDisposable {
    /** Increments a counter. The number of names must stay small, so they contain no request ids or statement texts. */
    count(name: string, amount?: number): void;
    gauge(name: string, value: number): void;
    /** Totals since the start of the process, and the latest value of each gauge; for `ctl status`. */
    totals(): ReadonlyMap<string, number>;
}

export interface StatsdCountersOptions {
    /** Address of the StatsD agent; if undefined, only the totals are kept. */
    readonly agent: { readonly host: string; readonly port: number; } | undefined;
    readonly instanceId: string;
}

// Every event increments a counter, so increments are aggregated and sent as one difference per counter and interval.
const flushIntervalMs = 1_000;

/** Sends counters with hot-shots once a second. An unreachable agent does not affect the program. */
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
