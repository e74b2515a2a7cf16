/** Checks reports of databases that other processes sent, or an earlier process stored. Unknown fields are dropped. */
import * as z from "zod";
import { ReportedState } from "./fleetMessages.ts";

const count = z.int().nonnegative();

export const databaseReportSchema = z.object({
    databaseId: z.string().min(1),
    service: z.string(),
    address: z.string(),
    dataCentre: z.string(),
    slots: count,
    state: z.enum(ReportedState),
    leads: z.boolean(),
    sequence: count,
    bornUnixMs: z.number().nonnegative(),
    // Not in the reports of earlier releases.
    coldLeftMs: z.number().nonnegative().optional(),
});
