/** Command line settings of a database stand-in. */
import { readFileSync } from "node:fs";
import { parseArgs } from "node:util";
import { DatabaseRole } from "../../src/model/database.ts";
import { type Address, parseAddress } from "./address.ts";
import { defaultSessionDefaults, type SessionDefaults } from "./sqlMode.ts";

export interface DatabaseSettings {
    readonly databaseId: string;
    readonly groupId: string;
    readonly service: string;
    readonly dataCentre: string;
    readonly listen: Address;
    /** Addresses (`host:port`) of the entry instances that receive the announcements. */
    readonly announce: readonly string[];
    readonly groupSize: number;
    readonly role: DatabaseRole;
    /** MySQL address of the primary that a replica follows; empty for a primary. */
    readonly primary: string;
    readonly slots: number;
    readonly connectionLimit: number;
    readonly lagMs: number;
    readonly connectDelayMs: number;
    readonly serviceMs: number;
    readonly lockTimeoutMs: number;
    readonly cluster: string;
    readonly clusterSecret: string;
    readonly password: string;
    readonly adminPort: number;
    /** Path of the log file; undefined keeps log and role in memory only. */
    readonly disk: string | undefined;
    readonly sessionDefaults: SessionDefaults;
}

const text = { type: "string" } as const;

export function readDatabaseSettings(commandLine: readonly string[]): DatabaseSettings {
    const { values } = parseArgs({
        args: [...commandLine],
        options: {
            "database-id": text,
            "group-id": text,
            service: text,
            "data-centre": text,
            listen: text,
            announce: { ...text, default: "" },
            "group-size": { ...text, default: "3" },
            role: { ...text, default: DatabaseRole.Primary },
            primary: { ...text, default: "" },
            slots: { ...text, default: "3" },
            "connection-limit": { ...text, default: "20" },
            "lag-ms": { ...text, default: "5" },
            "connect-delay-ms": { ...text, default: "12" },
            "service-ms": { ...text, default: "1" },
            "lock-timeout-ms": { ...text, default: "5000" },
            cluster: { ...text, default: "" },
            "cluster-secret-file": { ...text, default: "" },
            "password-file": { ...text, default: "" },
            "admin-port": { ...text, default: "0" },
            disk: text,
            "sql-mode": { ...text, default: "STRICT_TRANS_TABLES" },
            autocommit: { ...text, default: "1" },
            "completion-type": { ...text, default: defaultSessionDefaults.completionType },
        },
    });
    return {
        databaseId: required("database-id", values["database-id"]),
        groupId: required("group-id", values["group-id"]),
        service: required("service", values.service),
        dataCentre: required("data-centre", values["data-centre"]),
        listen: parseAddress(required("listen", values.listen)),
        announce: values.announce.split(",").filter(address => address !== ""),
        groupSize: readNumber("group-size", values["group-size"]),
        role: readRole(values.role),
        primary: values.role === DatabaseRole.Replica ? required("primary", values.primary) : "",
        slots: readNumber("slots", values.slots),
        connectionLimit: readNumber("connection-limit", values["connection-limit"]),
        lagMs: readNumber("lag-ms", values["lag-ms"]),
        connectDelayMs: readNumber("connect-delay-ms", values["connect-delay-ms"]),
        serviceMs: readNumber("service-ms", values["service-ms"]),
        lockTimeoutMs: readNumber("lock-timeout-ms", values["lock-timeout-ms"]),
        cluster: values.cluster,
        clusterSecret: readSecret(values["cluster-secret-file"]),
        password: readSecret(values["password-file"]),
        adminPort: readNumber("admin-port", values["admin-port"]),
        disk: values.disk,
        sessionDefaults: {
            sqlMode: values["sql-mode"],
            autocommit: values.autocommit !== "0",
            completionType: values["completion-type"],
        },
    };
}

function required(flag: string, value: string | undefined): string {
    if (value === undefined || value === "") {
        throw new Error(`--${flag} is missing`);
    }
    return value;
}

function readNumber(flag: string, value: string): number {
    const number = Number(value);
    if (!Number.isFinite(number) || number < 0) {
        throw new Error(`--${flag} must be a number of at least 0, not "${value}"`);
    }
    return number;
}

function readRole(value: string): DatabaseRole {
    if (value !== DatabaseRole.Primary && value !== DatabaseRole.Replica) {
        throw new Error(`--role must be "primary" or "replica", not "${value}"`);
    }
    return value;
}

function readSecret(path: string): string {
    return path === "" ? "" : readFileSync(path, "utf8").trim();
}
