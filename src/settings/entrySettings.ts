/** Settings of `jasmineline entry`. */
import {
    ChoiceKind,
    type ControlMember,
    ControlMembersKind,
    type Endpoint,
    EndpointKind,
    IntegerKind,
    NameKind,
    PathKind,
    PeerAddressesKind,
} from "./settingKinds.ts";
import { readSettings, SettingsError, type SettingsTable, type SettingValues } from "./settingsTable.ts";

export const LogFormat = { Json: "json", Text: "text" } as const;
export type LogFormat = typeof LogFormat[keyof typeof LogFormat];

export const LogLevel = { Debug: "debug", Info: "info", Warn: "warn", Error: "error" } as const;
export type LogLevel = typeof LogLevel[keyof typeof LogLevel];

export const entrySettingsTable = {
    "instance-id": {
        kind: new NameKind(),
        required: true,
        description: "Name of this instance, unique in the cluster.",
    },
    "data-centre": { kind: new NameKind(), required: true, description: "Data centre in which this instance runs." },
    "mysql-listen": {
        kind: new EndpointKind(),
        required: true,
        description: "Address for callers (MySQL protocol).",
    },
    "rpc-listen": {
        kind: new EndpointKind(),
        required: true,
        description: "Address for other instances, databases and operators (gRPC).",
    },
    "cluster-name": { kind: new NameKind(), required: true, description: "Name that all instances share." },
    "cluster-secret-file": {
        kind: new PathKind(),
        required: true,
        description: "File with the secret by which instances, databases and operators prove themselves.",
    },
    "control-members": {
        kind: new ControlMembersKind(),
        required: true,
        description: "Instances that keep the control state. Each has a disk and --data-folder.",
    },
    "peer-addresses": {
        kind: new PeerAddressesKind(),
        defaultText: "",
        description:
            "Addresses under which this instance reaches peers that announce another one (address translation).",
    },
    "data-folder": { kind: new PathKind(), description: "Folder for the control state; only on control members." },
    "initial-configuration": {
        kind: new PathKind(),
        description: "JSON file with classes, workspaces and keys of a new cluster; ignored once one exists.",
    },
    "database-user": {
        kind: new NameKind(),
        defaultText: "jasmineline",
        description: "User under which connections to databases are opened.",
    },
    "database-password-file": {
        kind: new PathKind(),
        required: true,
        description: "File with the password for the databases.",
    },
    "max-connections": {
        kind: new IntegerKind(1, 100_000),
        defaultText: "10000",
        description: "Callers' connections that this instance accepts.",
    },
    "max-statement-bytes": {
        kind: new IntegerKind(1_024, 16_777_215),
        defaultText: "1048576",
        unit: "bytes",
        description: "Longest statement that is accepted.",
    },
    "statement-limit-ms": {
        kind: new IntegerKind(100, 600_000),
        defaultText: "30000",
        unit: "milliseconds",
        description: "Time after which a statement without an answer counts as lost.",
    },
    "confirmation-limit-ms": {
        kind: new IntegerKind(10, 60_000),
        defaultText: "2000",
        unit: "milliseconds",
        description: "Time that a write may wait, past its waiting target, for a majority of its group.",
    },
    "drain-limit-ms": {
        kind: new IntegerKind(0, 600_000),
        defaultText: "30000",
        unit: "milliseconds",
        description: "Time that running transactions get during a graceful shutdown.",
    },
    statsd: { kind: new EndpointKind(), description: "Address of the metrics agent (StatsD over UDP)." },
    "log-format": {
        kind: new ChoiceKind(Object.values(LogFormat)),
        defaultText: LogFormat.Json,
        description: "Form of log lines.",
    },
    "log-level": {
        kind: new ChoiceKind(Object.values(LogLevel)),
        defaultText: LogLevel.Info,
        description: "Least severe log lines that are written.",
    },
    "record-trace": {
        kind: new PathKind(),
        description: "File to which every event is written, for `jasmineline replay`. Holds statement texts.",
    },
    seed: {
        kind: new IntegerKind(0, 2_147_483_647),
        description: "Seed of random choices; by default taken from the system.",
    },
} as const satisfies SettingsTable;

export type EntrySettings = SettingValues<typeof entrySettingsTable>;

export type { ControlMember, Endpoint };

/**
 * Reads and checks the settings of an entry instance.
 * @throws SettingsError that names the flag, its value and what is allowed
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
    const isMember = settings["control-members"].some(member => member.instanceId === instanceId);
    const dataFolder = settings["data-folder"];
    if (isMember && dataFolder === undefined) {
        throw new SettingsError(
            `--control-members names "${instanceId}" but --data-folder is missing; a control member needs one`,
        );
    }
    if (!isMember && dataFolder !== undefined) {
        throw new SettingsError(
            `--data-folder is "${dataFolder}" but --control-members does not name "${instanceId}"; drop one of them`,
        );
    }
    if (!isMember && settings["initial-configuration"] !== undefined) {
        throw new SettingsError(
            `--initial-configuration is "${
                settings["initial-configuration"]
            }" but "${instanceId}" is no control member`,
        );
    }
}
