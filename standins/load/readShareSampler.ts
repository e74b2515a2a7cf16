/** Share of reads that replicas served, from the databases' own counters. */
import type { DatabaseCounters } from "../database/adminServer.ts";
import type { DatabaseAdmin } from "./databaseAdmin.ts";

const sampleIntervalMs = 250;

/** Samples the counters; each difference counts for the role at the sample, so that a change of role is followed. */
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

    /** Reads the counters once; a database that does not answer keeps its last value. */
    async sample(): Promise<void> {
        const answers = await Promise.allSettled(this.databases.map(admin => admin.counters()));
        answers.forEach(answer => {
            if (answer.status === "fulfilled") {
                this.recordCounters(answer.value);
            }
        });
    }

    /** Undefined when no read was counted. */
    get replicaReadShare(): number | undefined {
        const total = this.replicaReads + this.primaryReads;
        return total === 0 ? undefined : this.replicaReads / total;
    }

    recordCounters(counters: DatabaseCounters): void {
        const previousReads = this.lastReads.get(counters.databaseId) ?? 0;
        this.lastReads.set(counters.databaseId, counters.reads);
        // A restarted database counts from zero.
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
