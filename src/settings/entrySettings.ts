/** Settings of `jasmineline entry`. */
import {
    ChoiceParser,
    type ControlMember,
    ControlMembersParser,
    type Endpoint,
    EndpointParser,
    IntegerParser,
    NameParser,
    PathParser,
    PeerAddressesParser,
} from "./settingParsers.ts";
import { readSettings, SettingsError, type SettingsTable, type SettingValues } from "./settingsTable.ts";

export const LogFormat = { Json: "json", Text: "text" } as const;
export type LogFormat = typeof LogFormat[keyof typeof LogFormat];

export const LogLevel = { Debug: "debug", Info: "info", Warn: "warn", Error: "error" } as const;
export type LogLevel = typeof LogLevel[keyof typeof LogLevel];

export const entrySettingsTable = {
    "instance-id": {
        parser: new NameParser(),
        required: true,
        description: "Name of this instance, unique in the cluster.",
    },
    "data-centre": {
        parser: new NameParser(),
        required: true,
        description: "Data centre in which this instance runs.",
    },
    "mysql-listen": {
        parser: new EndpointParser(),
        required: true,
        description: "Address for callers (MySQL protocol).",
    },
    "rpc-listen": {
        parser: new EndpointParser(),
        required: true,
        description: "Address for other instances, databases and operators (gRPC).",
    },
    "cluster-name": { parser: new NameParser(), required: true, description: "Name that all instances share." },
    "cluster-secret-file": {
        parser: new PathParser(),
        required: true,
        description: "File with the secret by which instances, databases and operators prove themselves.",
    },
    "control-members": {
        parser: new ControlMembersParser(),
        required: true,
        description: "Instances that keep the control state. Each has a disk and --data-folder.",
    },
    "peer-addresses": {
        parser: new PeerAddressesParser(),
        defaultText: "",
        description:
            "Addresses under which this instance reaches peers that announce another one (address translation).",
    },
    "data-folder": { parser: new PathParser(), description: "Folder for the control state; only on control members." },
    "initial-configuration": {
        parser: new PathParser(),
        description: "JSON file with classes, workspaces and keys of a new cluster; ignored once one exists.",
    },
    "database-user": {
        parser: new NameParser(),
        defaultText: "jasmineline",
        description: "User under which connections to databases are opened.",
    },
    "database-password-file": {
        parser: new PathParser(),
        required: true,
        description: "File with the password for the databases.",
    },
    "max-connections": {
        parser: new IntegerParser(1, 100_000),
        defaultText: "10000",
        description: "Callers' connections that this instance accepts.",
    },
    "max-statement-bytes": {
        parser: new IntegerParser(1_024, 16_777_213),
        defaultText: "1048576",
        unit: "bytes",
        description: "Longest statement that is accepted.",
    },
    "statement-limit-ms": {
        parser: new IntegerParser(100, 600_000),
        defaultText: "30000",
        unit: "milliseconds",
        description: "Time after which a statement without an answer counts as lost.",
    },
    "confirmation-limit-ms": {
        parser: new IntegerParser(10, 60_000),
        defaultText: "2000",
        unit: "milliseconds",
        description: "Time that a write may wait, past its waiting target, for a majority of its group.",
    },
    "drain-limit-ms": {
        parser: new IntegerParser(0, 600_000),
        defaultText: "30000",
        unit: "milliseconds",
        description: "Time that running transactions get during a graceful shutdown.",
    },
    statsd: { parser: new EndpointParser(), description: "Address of the metrics agent (StatsD over UDP)." },
    "log-format": {
        parser: new ChoiceParser(Object.values(LogFormat)),
        defaultText: LogFormat.Json,
        description: "Form of log lines.",
    },
    "log-level": {
        parser: new ChoiceParser(Object.values(LogLevel)),
        defaultText: LogLevel.Info,
        description: "Least severe log lines that are written.",
    },
    "record-trace": {
        parser: new PathParser(),
        description: "File to which every event is written, for `jasmineline replay`. Holds statement texts.",
    },
    seed: {
        parser: new IntegerParser(0, 2_147_483_647),
        description: "Seed of random choices; by default taken from the system.",
    },
} as const satisfies SettingsTable;

export type EntrySettings = SettingValues<typeof entrySettingsTable>;

export type { ControlMember, Endpoint };

/**
 * Reads and validates the settings of an instance.
 * @throws SettingsError that names the flag, its value and the allowed values
 */
export function readEntrySettings(
    commandLine: readonly string[],
    environment: Readonly<Record<string, string | undefined>>,
): EntrySettings {
    const settings = readSettings(entrySettingsTable, commandLine, environment);
    checkCombinations(settings);
    return settings;
}

function checkCombinations(settings: EntrySettings): void {
    const instanceId = settings["instance-id"];
    const isControlMember = settings["control-members"].some(member => member.instanceId === instanceId);
    const dataFolder = settings["data-folder"];
    if (isControlMember && dataFolder === undefined) {
        throw new SettingsError(
            `--control-members names "${instanceId}" but --data-folder is missing; a control member needs one`,
        );
    }
    if (!isControlMember && dataFolder !== undefined) {
        throw new SettingsError(
            `--data-folder is "${dataFolder}" but --control-members does not name "${instanceId}"; drop one of them`,
        );
    }
    if (!isControlMember && settings["initial-configuration"] !== undefined) {
        throw new SettingsError(
            `--initial-configuration is "${
                settings["initial-configuration"]
            }" but "${instanceId}" is no control member`,
        );
    }
}
