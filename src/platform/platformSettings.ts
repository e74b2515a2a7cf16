/** The settings file that the platform provides to a process. */
import { readFileSync } from "node:fs";
import { setTimeout as delay } from "node:timers/promises";
import * as z from "zod";
import type { ColdTolerance } from "../model/coldLimits.ts";
import type { RateTolerance } from "../model/rateLimits.ts";
import type { SocketAddress } from "../model/socketAddress.ts";

/** Environment variable with the path of the settings file. */
export const settingsVariable = "JASMINELINE_CONFIG";

/** Time for the platform to complete a file that it is writing when a process starts. */
const completionLimitMs = 1_000;
const retryIntervalMs = 50;

const addressSchema = z.string().regex(/^[0-9.]+:[0-9]+$/, "must be host:port with a numeric host");

/** The name of a machine is sent in an HTTP header, in which other characters cannot stand. */
const machineSchema = z.string().regex(/^[!-~]([ -~]*[!-~])?$/, "must be ASCII text without control characters");

const hostSchema = z.string().regex(/^[0-9A-Za-z.-]+$/, "must be a host");

// Unknown fields are ignored, because the platform may add some.
const fileSchema = z.object({
    node: machineSchema,
    serves: z.array(z.string()),
    ip: hostSchema,
    zone: z.string().min(1),
    // Not known to platforms without regions. Where it can't be read, no data centre counts as being at home.
    region: z.string().optional().catch(undefined),
    zones: z.record(z.string(), z.unknown()).default({}).catch({}),
    listen: z.object({
        front: addressSchema.optional(),
        ready: addressSchema.optional(),
        control: addressSchema.optional(),
    }),
    port_range: z.tuple([z.number().int(), z.number().int()]),
    seeds: z.array(addressSchema),
    bootstrap: z.boolean(),
    data_dir: z.string().nullish(),
    heartbeat_interval_ms: z.number().positive(),
    bounds: z.object({
        grace_s: z.number().positive(),
        // The defaults tolerate nothing beyond the rates, for platforms without a contract on rates.
        quota_window_s: z.number().positive().default(1),
        quota_tolerance: z.number().nonnegative().default(0),
        quota_slack: z.number().nonnegative().default(0),
        evacuate_ms: z.number().positive().default(5_000),
        // What can't be read tolerates nothing beyond what a cold database bears.
        cold_excess: z.number().nonnegative().default(1).catch(1),
        cold_slack: z.number().nonnegative().default(0).catch(0),
    }),
    fault_tolerance: z.object({
        machines: z.number().int().nonnegative().default(0),
        zones: z.number().int().nonnegative().default(0),
        regions: z.number().int().nonnegative().default(0),
    }).nullish(),
    cloud_api: z.object({ address: addressSchema }).nullish(),
});

export interface PlatformSettings {
    /** Name of the machine. */
    readonly instanceId: string;
    readonly host: string;
    readonly dataCentre: string;
    /** All data centres of the deployment, as far as the file tells; at least the own one. */
    readonly dataCentres: ReadonlySet<string>;
    /** Region of each data centre. */
    readonly dataCentreRegions: ReadonlyMap<string, string>;
    /** Listener for callers; undefined on machines that serve none. */
    readonly callerEndpoint: SocketAddress | undefined;
    /** Listener for the readiness checks of the platform. */
    readonly readinessEndpoint: SocketAddress | undefined;
    /** Listener for operators and databases; undefined on machines that are no control members. */
    readonly controlEndpoint: SocketAddress | undefined;
    /** `host:port` of the gRPC listener. */
    readonly rpcAddress: string;
    /** Initial control members: the host, which is the member id, and `host:port` of the gRPC listener. */
    readonly seeds: readonly { readonly memberId: string; readonly address: string; }[];
    /** The cluster starts for the first time. */
    readonly isBootstrap: boolean;
    readonly dataFolder: string | undefined;
    /** Interval between the heartbeats in which a database reports its state. */
    readonly reportIntervalMs: number;
    /** Tolerance when operations are counted against the rates of workspaces. */
    readonly rateTolerance: RateTolerance;
    /** Time after the acknowledgement of an evacuation from which no statement may reach a database there. */
    readonly evacuationBoundMs: number;
    /** Tolerance when statements are counted against what a cold database bears. */
    readonly coldTolerance: ColdTolerance;
    /** Time between the signal to stop and the kill of the process. */
    readonly terminationGracePeriodMs: number;
    /** Number of control members that may lose their disks simultaneously without loss of acknowledged data. */
    readonly faultTolerance: number;
    /** `host:port` of the platform API that accepts promotion orders. */
    readonly promotionOrderAddress: string | undefined;
}

/** The file is no JSON, or only the beginning of it. */
class IncompleteSettingsError extends Error {}

/**
 * Reads and validates the settings file.
 * @throws Error that names the file and the field
 */
export function readPlatformSettings(path: string): PlatformSettings {
    return decodePlatformSettings(readFileSync(path, "utf8"), path);
}

/**
 * Reads the settings file at the start of a process, when the platform may still be writing it.
 * @throws Error that names the file and the field; for a file that is no JSON only after `completionLimitMs`
 */
export async function readCompleteSettings(path: string): Promise<PlatformSettings> {
    const endsAtMs = performance.now() + completionLimitMs;
    for (;;) {
        try {
            return readPlatformSettings(path);
        }
        catch (error) {
            if (!(error instanceof IncompleteSettingsError) || performance.now() >= endsAtMs) {
                throw error;
            }
        }
        await delay(retryIntervalMs);
    }
}

/** @param path of the settings file, for error messages */
export function decodePlatformSettings(text: string, path: string): PlatformSettings {
    const result = fileSchema.safeParse(parseJson(text, path));
    if (!result.success) {
        const [issue] = result.error.issues;
        throw new Error(`${path}: "${issue?.path.join(".")}" ${issue?.message ?? "is missing"}`);
    }
    const file = result.data;
    const rpcPort = file.port_range[0];
    return {
        instanceId: file.node,
        host: file.ip,
        dataCentre: file.zone,
        dataCentres: new Set([file.zone, ...Object.keys(file.zones)]),
        dataCentreRegions: decodeRegions(file),
        callerEndpoint: parseEndpoint(file.listen.front),
        readinessEndpoint: parseEndpoint(file.listen.ready),
        controlEndpoint: parseEndpoint(file.listen.control),
        rpcAddress: `${file.ip}:${rpcPort}`,
        // All machines use the same ports, so the gRPC address of a control member is derived from its host.
        seeds: file.seeds.map(parseEndpoint).map(seed => ({
            memberId: seed!.host,
            address: `${seed!.host}:${rpcPort}`,
        })),
        isBootstrap: file.bootstrap,
        dataFolder: file.data_dir ?? undefined,
        reportIntervalMs: file.heartbeat_interval_ms,
        rateTolerance: {
            windowMs: file.bounds.quota_window_s * 1_000,
            share: file.bounds.quota_tolerance,
            operations: file.bounds.quota_slack,
        },
        evacuationBoundMs: file.bounds.evacuate_ms,
        coldTolerance: { excess: file.bounds.cold_excess, statements: file.bounds.cold_slack },
        terminationGracePeriodMs: file.bounds.grace_s * 1_000,
        faultTolerance: decodeFaultTolerance(file),
        promotionOrderAddress: file.cloud_api?.address,
    };
}

/** Entries that are no names are left out. */
function decodeRegions({ zone, region, zones }: z.infer<typeof fileSchema>): ReadonlyMap<string, string> {
    const own = region === undefined ? [] : [[zone, region] as const];
    const listed = Object.entries(zones).filter((entry): entry is [string, string] => typeof entry[1] === "string");
    return new Map([...own, ...listed].filter(([, name]) => name !== ""));
}

/**
 * The loss of a zone includes one member, and that of a region one for each of its zones; the platform does not tell how many
 * there are. More than a minority of the zones cannot be lost in any case. By default, the loss of a minority is tolerated.
 */
function decodeFaultTolerance(file: z.infer<typeof fileSchema>): number {
    const { machines, zones, regions } = file.fault_tolerance
        ?? { machines: Math.floor((file.seeds.length - 1) / 2), zones: 0, regions: 0 };
    return Math.max(machines, zones, regions, Math.min(zonesIn(file, regions), Math.floor((zoneCount(file) - 1) / 2)));
}

function zoneCount(file: z.infer<typeof fileSchema>): number {
    return decodeRegions(file).size;
}

/** Number of zones in the given number of regions, the largest ones. */
function zonesIn(file: z.infer<typeof fileSchema>, regionCount: number): number {
    const names = [...decodeRegions(file).values()];
    const sizes = [...new Set(names)].map(region => names.filter(name => name === region).length);
    return sizes.sort((left, right) => right - left).slice(0, regionCount).reduce((sum, size) => sum + size, 0);
}

function parseJson(text: string, path: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch (error) {
        throw new IncompleteSettingsError(`${path}: ${(error as Error).message}`, { cause: error });
    }
}

function parseEndpoint(text: string): SocketAddress;
function parseEndpoint(text: string | undefined): SocketAddress | undefined;
function parseEndpoint(text: string | undefined): SocketAddress | undefined {
    if (text === undefined) {
        return undefined;
    }
    const separator = text.lastIndexOf(":");
    return { host: text.slice(0, separator), port: Number(text.slice(separator + 1)) };
}
