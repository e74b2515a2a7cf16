/** Decodes the heartbeats in which databases report their state, and the calls with which they leave. */
import { isIPv4 } from "node:net";
import * as z from "zod";
import { maximumSlots } from "../model/database.ts";
import { type DatabaseReport, ReportedState } from "../model/fleetMessages.ts";
import { parseAddress } from "../model/socketAddress.ts";
import { isWireWord, toWireName } from "./wireNames.ts";

/** The names of the platform have about ten characters. */
const maximumWordBytes = 128;

const wordSchema = z.string().refine(isWord);

/**
 * A start time (`born`) further in the future than this is invalid; clocks differ by seconds. Reports with an earlier
 * start time are outdated, so a start time in the far future would invalidate all later reports.
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
    cold_left_ms: z.number().nonnegative().optional(),
});

const departureSchema = z.object({ born: z.int().nonnegative() });

/** Decodes a heartbeat. Returns undefined if it is invalid or describes a database that cannot be used. */
export function decodeDatabaseReport(databaseId: string, text: string, nowUnixMs: number): DatabaseReport | undefined {
    const result = reportSchema.safeParse(parseJson(text));
    if (!result.success || !isWord(databaseId)) {
        return undefined;
    }
    if (result.data.born > nowUnixMs + maximumClockSkewMs) {
        return undefined;
    }
    const { service, address, zone, slots, state, db_role: role, seq, born, cold_left_ms: coldLeftMs } = result.data;
    return {
        databaseId: toWireName(databaseId),
        service: toWireName(service),
        address,
        dataCentre: zone,
        slots,
        state: state === "ready" ? ReportedState.Ready : ReportedState.Draining,
        leads: role === "primary",
        sequence: seq,
        bornUnixMs: born,
        ...coldLeftMs === undefined ? {} : { coldLeftMs },
    };
}

/** Decodes the id of a database that leaves. Returns undefined if no database can have it. */
export function decodeDepartedId(databaseId: string): string | undefined {
    return isWord(databaseId) ? toWireName(databaseId) : undefined;
}

/**
 * Decodes the start time of a database process, in Unix milliseconds, from the call with which it leaves. Returns
 * undefined if the call names none that can be valid.
 */
export function decodeDepartedStart(text: string, nowUnixMs: number): number | undefined {
    const result = departureSchema.safeParse(parseJson(text));
    return result.success && result.data.born <= nowUnixMs + maximumClockSkewMs ? result.data.born : undefined;
}

function isWord(text: string): boolean {
    return isWireWord(toWireName(text), maximumWordBytes);
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        // The schema rejects undefined like any other body that is no heartbeat.
        return undefined;
    }
}
