/** Settings of `jasmineline ctl`, and the arguments of its commands. */
import { ChoiceKind, EndpointKind, IntegerKind, NameKind, PathKind, type SettingKind } from "./settingKinds.ts";
import type { SettingsTable } from "./settingsTable.ts";

export const OutputFormat = { Text: "text", Json: "json" } as const;
export type OutputFormat = typeof OutputFormat[keyof typeof OutputFormat];

class ServersKind implements SettingKind<readonly string[]> {
    readonly allowed = "IP:PORT of one or more instances, separated by commas";

    parse(text: string): readonly string[] | undefined {
        const servers = text.split(",");
        return servers.every(server => new EndpointKind().parse(server) !== undefined) ? servers : undefined;
    }
}

class NumberKind implements SettingKind<number> {
    readonly allowed: string;
    private readonly accepts: (value: number) => boolean;

    constructor(allowed: string, accepts: (value: number) => boolean) {
        this.allowed = allowed;
        this.accepts = accepts;
    }

    parse(text: string): number | undefined {
        const value = Number(text);
        return text.trim() !== "" && Number.isFinite(value) && this.accepts(value) ? value : undefined;
    }
}

/** Settings that every ctl command takes. */
export const ctlSettingsTable = {
    server: { kind: new ServersKind(), required: true, description: "gRPC addresses of instances to ask." },
    "cluster-name": { kind: new NameKind(), required: true, description: "Name of the cluster." },
    "cluster-secret-file": { kind: new PathKind(), required: true, description: "File with the cluster secret." },
    output: {
        kind: new ChoiceKind(Object.values(OutputFormat)),
        defaultText: OutputFormat.Text,
        description: "Form of the output.",
    },
    "timeout-ms": {
        kind: new IntegerKind(100, 600_000),
        defaultText: "15000",
        unit: "milliseconds",
        description: "Time for the whole operation.",
    },
} as const satisfies SettingsTable;

const nonNegative = new NumberKind("a number of at least 0", value => value >= 0);
const positive = new NumberKind("a number above 0", value => value > 0);

/** Settings of commands that change something. */
export const changeSettingsTable = {
    "expected-version": {
        kind: new IntegerKind(0, Number.MAX_SAFE_INTEGER),
        description: "Version of the object as last seen; by default the one that is current when the command starts.",
    },
    "operation-id": {
        kind: new NameKind(),
        description: "Id of this change; give the same one to repeat a change whose answer was lost.",
    },
} as const satisfies SettingsTable;

/** Targets of a work class. */
export const classTargetsTable = {
    "max-age-ms": { kind: nonNegative, unit: "milliseconds", description: "Oldest data that a read may return." },
    "waiting-ms": { kind: positive, unit: "milliseconds", description: "Longest wait before a statement runs." },
    repeat: {
        kind: new ChoiceKind(["never", "reads"]),
        description: "What may be sent again when an outcome is unknown: nothing, or statements that only read.",
    },
    objective: {
        kind: new NumberKind("a share above 0 and below 1", value => value > 0 && value < 1),
        description: "Share of statements that must meet the targets.",
    },
} as const satisfies SettingsTable;

/** Limits of a workspace. */
export const workspaceLimitsTable = {
    rate: { kind: positive, unit: "statements per second", description: "Rate over all instances together." },
    burst: {
        kind: new NumberKind("a number of at least 1", value => value >= 1),
        unit: "statements",
        description: "Statements that may run at once after a quiet time.",
    },
    "key-validity-ms": {
        kind: positive,
        unit: "milliseconds",
        description: "Time without proof of a recent configuration after which keys are refused.",
    },
} as const satisfies SettingsTable;

export const keyIdTable = {
    id: { kind: new NameKind(), description: "Id of the new key; by default a random one." },
} as const satisfies SettingsTable;

export const routeTable = {
    workspace: { kind: new NameKind(), required: true, description: "Workspace whose rate the route uses." },
} as const satisfies SettingsTable;

export const reportTable = {
    html: { kind: new PathKind(), description: "Also write the report to this file as one HTML page." },
} as const satisfies SettingsTable;
