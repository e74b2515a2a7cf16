/** Heartbeats of databases. */
import { z } from "zod";
import { type DatabaseReport, ReportedState } from "../model/fleetMessages.ts";

const schema = z.object({
    service: z.string().min(1),
    address: z.string().regex(/^[0-9.]+:[0-9]+$/),
    zone: z.string().min(1),
    slots: z.number().positive().default(1),
    state: z.enum(["ready", "draining"]),
    db_role: z.enum(["primary", "replica"]),
    seq: z.number().nonnegative(),
    born: z.number().nonnegative().default(0),
});

/** Undefined when the heartbeat names no database that could be used. */
export function decodeReport(databaseId: string, text: string): DatabaseReport | undefined {
    const result = schema.safeParse(parse(text));
    if (!result.success || databaseId === "") {
        return undefined;
    }
    const { service, address, zone, slots, state, db_role: role, seq, born } = result.data;
    return {
        databaseId,
        service,
        address,
        dataCentre: zone,
        slots,
        state: state === "ready" ? ReportedState.Ready : ReportedState.Draining,
        leads: role === "primary",
        sequence: seq,
        bornUnixMs: born,
    };
}

function parse(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        // Refused by the schema like any other body that holds no heartbeat.
        return undefined;
    }
}
