/** Command line settings of the load tool. */
import { readFileSync } from "node:fs";
import { parseArgs } from "node:util";
import type { CallerIdentity } from "./connector.ts";
import type { WorkspaceRate } from "./rateModel.ts";

/** Content of the file given by `--callers-file`. */
export interface CallersFile {
    readonly keys: readonly CallerIdentity[];
    readonly workspaces: readonly WorkspaceRate[];
}

export interface LoadSettings {
    readonly entries: readonly string[];
    readonly services: readonly string[];
    readonly callers: CallersFile;
    readonly callerCount: number;
    readonly durationMs: number;
    readonly statementLimit: number;
    readonly pauseMs: number;
    readonly answerTimeoutMs: number;
    /** Timeout until every service accepts a write through every entry instance. */
    readonly readyTimeoutMs: number;
    readonly seed: number;
    readonly recordPath: string | undefined;
    readonly replayPath: string | undefined;
    readonly adminPorts: readonly number[];
}

const text = { type: "string" } as const;

export function readLoadSettings(commandLine: readonly string[]): LoadSettings {
    const { values } = parseArgs({
        args: [...commandLine],
        options: {
            entries: { ...text, default: "" },
            services: { ...text, default: "orders" },
            "callers-file": { ...text, default: "" },
            callers: { ...text, default: "16" },
            "duration-ms": { ...text, default: "10000" },
            statements: { ...text, default: "100000" },
            "pause-ms": { ...text, default: "20" },
            "answer-timeout-ms": { ...text, default: "5000" },
            "ready-timeout-ms": { ...text, default: "10000" },
            seed: { ...text, default: "1" },
            record: text,
            replay: text,
            "admin-ports": { ...text, default: "" },
        },
    });
    return {
        entries: readList("entries", values.entries),
        services: readList("services", values.services),
        callers: JSON.parse(readFileSync(values["callers-file"], "utf8")) as CallersFile,
        callerCount: Number(values.callers),
        durationMs: Number(values["duration-ms"]),
        statementLimit: Number(values.statements),
        pauseMs: Number(values["pause-ms"]),
        answerTimeoutMs: Number(values["answer-timeout-ms"]),
        readyTimeoutMs: Number(values["ready-timeout-ms"]),
        seed: Number(values.seed),
        recordPath: values.record,
        replayPath: values.replay,
        adminPorts: readList("admin-ports", values["admin-ports"]).map(Number),
    };
}

function readList(flag: string, value: string): readonly string[] {
    if (value === "") {
        throw new Error(`--${flag} is missing`);
    }
    return value.split(",");
}
