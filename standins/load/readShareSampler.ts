/** Measures the share of reads that replicas served, from the counters of the databases. */
import type { DatabaseCounters } from "../database/adminServer.ts";
import type { DatabaseAdmin } from "./databaseAdmin.ts";

const sampleIntervalMs = 250;

/** Samples the counters and attributes each increase to the database's role at that sample, to follow role changes. */
export class ReadShareSampler implements AsyncDisposable {
    private readonly databases: readonly DatabaseAdmin[];
    private readonly lastReads = new Map<string, number>();
    private readonly timer: NodeJS.Timeout;
    private replicaReads = 0;
    private primaryReads = 0;

    constructor(databases: readonly DatabaseAdmin[]) {
        this.databases = databases;
        this.timer = setInterval(() => void this.sample(), sampleIntervalMs);
    }

    /** Samples all databases once; a database that does not respond is skipped until the next sample. */
    async sample(): Promise<void> {
        const results = await Promise.allSettled(this.databases.map(admin => admin.counters()));
        results.forEach(result => {
            if (result.status === "fulfilled") {
                this.recordCounters(result.value);
            }
        });
    }

    /** Undefined when no reads were counted. */
    get replicaReadShare(): number | undefined {
        const total = this.replicaReads + this.primaryReads;
        return total === 0 ? undefined : this.replicaReads / total;
    }

    recordCounters(counters: DatabaseCounters): void {
        const previousReads = this.lastReads.get(counters.databaseId) ?? 0;
        this.lastReads.set(counters.databaseId, counters.reads);
        // The counter of a restarted database starts at zero.
        const newReads = counters.reads >= previousReads ? counters.reads - previousReads : counters.reads;
        if (counters.role === "primary") {
            this.primaryReads += newReads;
        }
        else {
            this.replicaReads += newReads;
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        clearInterval(this.timer);
    }
}
