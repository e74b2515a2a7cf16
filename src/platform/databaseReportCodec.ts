/** Heartbeats of databases. */
import { isIPv4 } from "node:net";
import { z } from "zod";
import { maximumSlots } from "../model/database.ts";
import { type DatabaseReport, ReportedState } from "../model/fleetMessages.ts";
import { parseAddress } from "../model/socketAddress.ts";

/** Names become words of a line on the connection to the database; the platform's have some ten characters. */
const wordSchema = z.string().regex(/^[!-~]{1,128}$/);

/**
 * How far the birth of a database may lie in the future, because clocks differ by seconds. Behind a later birth no other
 * report counts.
 */
const maximumClockSkewMs = 60_000;

const reportSchema = z.object({
    service: wordSchema,
    address: z.string().refine(text => isIPv4(parseAddress(text)?.host ?? "")),
    zone: wordSchema,
    slots: z.int().positive().max(maximumSlots).default(1),
    state: z.enum(["ready", "draining"]),
    db_role: z.enum(["primary", "replica"]),
    seq: z.int().nonnegative(),
    born: z.int().nonnegative().default(0),
});

/** Undefined when the heartbeat names no database that could be used. */
export function decodeDatabaseReport(databaseId: string, text: string, nowUnixMs: number): DatabaseReport | undefined {
    const result = reportSchema.safeParse(parseJson(text));
    if (!result.success || !wordSchema.safeParse(databaseId).success) {
        return undefined;
    }
    if (result.data.born > nowUnixMs + maximumClockSkewMs) {
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

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        // Refused by the schema like any other body that holds no heartbeat.
        return undefined;
    }
}
