/** Tables of settings. A table drives the parsing of flags, the help text and the reference page. */
import { parseArgs } from "node:util";
import { BaseError } from "../model/baseError.ts";
import type { SettingParser } from "./settingParsers.ts";

/** Definition of a setting. The key in the table is the name of the flag. */
export interface SettingDefinition<Value> {
    readonly parser: SettingParser<Value>;
    readonly description: string;
    /** Default value as text; undefined when there is none. */
    readonly defaultText?: string;
    /** True when the program must not start without a value. */
    readonly required?: boolean;
    /** Unit of the value, for the help text and the reference page. */
    readonly unit?: string;
}

// The value type differs from one setting to the next; `SettingValues` infers it.
// eslint-disable-next-line @typescript-eslint/no-explicit-any
export type SettingsTable = Readonly<Record<string, SettingDefinition<any>>>;

type ValueOf<Definition> = Definition extends SettingDefinition<infer Value> ? Value : never;

/** Parsed values by flag name. A setting that is neither required nor has a default may be undefined. */
export type SettingValues<Table extends SettingsTable> = {
    readonly [Name in keyof Table]: Table[Name] extends { readonly defaultText: string; } | { readonly required: true; }
        ? ValueOf<Table[Name]>
        : ValueOf<Table[Name]> | undefined;
};

/** Invalid or missing setting. The program does not start and prints the message, which names the setting. */
export const SettingsError = BaseError.subclass("SettingsError", { props: { step: "settings" } });

/**
 * Reads settings from flags, environment variables and defaults, in this order of precedence.
 * @throws SettingsError for an unknown flag, an invalid value or a missing required setting
 */
export function readSettings<Table extends SettingsTable>(
    table: Table,
    commandLine: readonly string[],
    environment: Readonly<Record<string, string | undefined>>,
): SettingValues<Table> {
    const flags = parseFlags(table, commandLine);
    const values = Object.entries(table).map(([name, definition]) => {
        const variable = environmentVariableName(name);
        const fromFlag = flags[name];
        const text = fromFlag ?? environment[variable] ?? definition.defaultText;
        const source = fromFlag === undefined ? variable : `--${name}`;
        return [name, readValue(name, definition, text, source)];
    });
    return Object.fromEntries(values) as SettingValues<Table>;
}

/** Returns the variable of a flag, for example `JASMINELINE_LOG_LEVEL` for `log-level`. */
export function environmentVariableName(flag: string): string {
    return `JASMINELINE_${flag.toUpperCase().replaceAll("-", "_")}`;
}

/** Renders the settings for `--help`. */
export function describeSettings(table: SettingsTable): string {
    return Object.entries(table).map(([name, definition]) => {
        const details = [
            definition.parser.allowedValues,
            definition.unit === undefined ? "" : `in ${definition.unit}`,
            definition.required === true ? "required" : "",
            definition.defaultText === undefined ? "" : `default ${definition.defaultText}`,
        ];
        return `  --${name}\n      ${definition.description}\n      (${
            details.filter(detail => detail !== "").join("; ")
        })`;
    }).join("\n");
}

/** Renders the settings as a Markdown table for the reference page. */
export function settingsAsMarkdown(table: SettingsTable): string {
    const rows = Object.entries(table).map(([name, definition]) => {
        const defaultValue = definition.required === true ? "required" : definition.defaultText ?? "none";
        const unit = definition.unit ?? "";
        return `| \`--${name}\` | \`${
            environmentVariableName(name)
        }\` | ${definition.parser.allowedValues} | ${unit} | ${defaultValue} | ${definition.description} |`;
    });
    return [
        "| Flag | Variable | Allowed | Unit | Default | Meaning |",
        "| --- | --- | --- | --- | --- | --- |",
        ...rows,
    ]
        .join("\n");
}

function parseFlags(
    table: SettingsTable,
    commandLine: readonly string[],
): Readonly<Record<string, string | undefined>> {
    const options = Object.fromEntries(Object.keys(table).map(name => [name, { type: "string" as const }]));
    try {
        const { values } = parseArgs({ args: [...commandLine], options, strict: true, allowPositionals: false });
        return values as Record<string, string | undefined>;
    }
    catch (error) {
        throw new SettingsError(`${(error as Error).message}\nSee --help for the flags that exist.`);
    }
}

function readValue(
    name: string,
    definition: SettingDefinition<unknown>,
    text: string | undefined,
    source: string,
): unknown {
    if (text === undefined) {
        if (definition.required === true) {
            throw new SettingsError(`--${name} is missing; give the flag or set ${environmentVariableName(name)}`);
        }
        return undefined;
    }
    const value = definition.parser.parse(text);
    if (value === undefined) {
        throw new SettingsError(`${source} has the value "${text}"; allowed is ${definition.parser.allowedValues}`);
    }
    return value;
}
