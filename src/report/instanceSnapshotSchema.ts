/** Checks a snapshot that an earlier process stored, to the extent that restoring it requires. Unknown fields are dropped. */
import * as z from "zod";
import { LatencyHistogram } from "./latencyHistogram.ts";
import { outcomeClasses, type OutcomeCounts } from "./outcomeCounts.ts";
import type { InstanceSnapshot } from "./recordOutcomes.ts";

const count = z.int().nonnegative();

const countsSchema = z.object(Object.fromEntries(outcomeClasses.map(name => [name, count])))
    .transform(counts => counts as OutcomeCounts);

const bucketsSchema = z.array(z.object({ age: count, counts: countsSchema }));

const histogramSchema = z.string().refine(isHistogram, "not an encoded histogram");

export const instanceSnapshotSchema: z.ZodType<InstanceSnapshot> = z.object({
    instanceId: z.string(),
    series: z.array(z.object({
        workClass: z.string(),
        workspace: z.string(),
        objectiveShare: z.number(),
        waitingTargetMs: z.number(),
        fine: bucketsSchema,
        coarse: bucketsSchema,
        waiting: histogramSchema,
        total: histogramSchema,
    })),
});

function isHistogram(text: string): boolean {
    try {
        LatencyHistogram.decode(text);
        return true;
    }
    catch {
        return false;
    }
}
