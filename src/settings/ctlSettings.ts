/** Settings of `jasmineline ctl` and of its commands. */
import {
    ChoiceParser,
    EndpointParser,
    IntegerParser,
    NameParser,
    PathParser,
    type SettingParser,
} from "./settingParsers.ts";
import type { SettingsTable } from "./settingsTable.ts";

export const OutputFormat = { Text: "text", Json: "json" } as const;
export type OutputFormat = typeof OutputFormat[keyof typeof OutputFormat];

class ServersParser implements SettingParser<readonly string[]> {
    readonly allowedValues = "IP:PORT of one or more instances, separated by commas";

    parse(text: string): readonly string[] | undefined {
        const servers = text.split(",");
        return servers.every(server => new EndpointParser().parse(server) !== undefined) ? servers : undefined;
    }
}

class NumberParser implements SettingParser<number> {
    readonly allowedValues: string;
    private readonly isAllowed: (value: number) => boolean;

    constructor(allowed: string, isAllowed: (value: number) => boolean) {
        this.allowedValues = allowed;
        this.isAllowed = isAllowed;
    }

    parse(text: string): number | undefined {
        const value = Number(text);
        return text.trim() !== "" && Number.isFinite(value) && this.isAllowed(value) ? value : undefined;
    }
}

/** Settings that all ctl commands have in common. */
export const ctlSettingsTable = {
    server: { parser: new ServersParser(), required: true, description: "gRPC addresses of instances to ask." },
    "cluster-name": { parser: new NameParser(), required: true, description: "Name of the cluster." },
    "cluster-secret-file": { parser: new PathParser(), required: true, description: "File with the cluster secret." },
    output: {
        parser: new ChoiceParser(Object.values(OutputFormat)),
        defaultText: OutputFormat.Text,
        description: "Form of the output.",
    },
    "timeout-ms": {
        parser: new IntegerParser(100, 600_000),
        defaultText: "15000",
        unit: "milliseconds",
        description: "Time for the whole operation.",
    },
} as const satisfies SettingsTable;

const nonNegative = new NumberParser("a number of at least 0", value => value >= 0);
const positive = new NumberParser("a number above 0", value => value > 0);

/** Setting that identifies a change. */
export const operationSettingsTable = {
    "operation-id": {
        parser: new NameParser(),
        description: "Id of this change; give the same one to repeat a change whose answer was lost.",
    },
} as const satisfies SettingsTable;

/** Settings of the commands that change the configuration. */
export const changeSettingsTable = {
    "expected-version": {
        parser: new IntegerParser(0, Number.MAX_SAFE_INTEGER),
        description: "Version of the object as last seen; by default the one that is current when the command starts.",
    },
    ...operationSettingsTable,
} as const satisfies SettingsTable;

/** Settings that set the targets of a work class. */
export const workClassSettingsTable = {
    "max-age-ms": { parser: nonNegative, unit: "milliseconds", description: "Oldest data that a read may return." },
    "waiting-ms": { parser: positive, unit: "milliseconds", description: "Longest wait before a statement runs." },
    repeat: {
        parser: new ChoiceParser(["never", "reads"]),
        description: "What may be sent again when an outcome is unknown: nothing, or statements that only read.",
    },
    objective: {
        parser: new NumberParser("a share above 0 and below 1", value => value > 0 && value < 1),
        description: "Share of statements that must meet the targets.",
    },
} as const satisfies SettingsTable;

/** Settings that set the limits of a workspace. */
export const workspaceSettingsTable = {
    rate: { parser: positive, unit: "statements per second", description: "Rate over all instances together." },
    burst: {
        parser: new NumberParser("a number of at least 1", value => value >= 1),
        unit: "statements",
        description: "Statements that may run at once after a quiet time.",
    },
    "key-validity-ms": {
        parser: positive,
        unit: "milliseconds",
        description: "Time without proof of a recent configuration after which keys are refused.",
    },
} as const satisfies SettingsTable;

export const issueKeySettingsTable = {
    id: { parser: new NameParser(), description: "Id of the new key; by default a random one." },
} as const satisfies SettingsTable;

export const openRouteSettingsTable = {
    workspace: { parser: new NameParser(), required: true, description: "Workspace whose rate the route uses." },
} as const satisfies SettingsTable;

export const StatementEffect = { Read: "read", Write: "write" } as const;
export type StatementEffect = typeof StatementEffect[keyof typeof StatementEffect];

export const explainSettingsTable = {
    workspace: { parser: new NameParser(), description: "Workspace of the caller; by default a caller without a key." },
    effect: {
        parser: new ChoiceParser(Object.values(StatementEffect)),
        defaultText: StatementEffect.Read,
        description: "Whether the statement reads or writes.",
    },
} as const satisfies SettingsTable;

export const burnReportSettingsTable = {
    html: { parser: new PathParser(), description: "Also write the report to this file as one HTML page." },
} as const satisfies SettingsTable;
