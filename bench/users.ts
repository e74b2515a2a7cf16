/** Current sizes of the users' systems, from section 1.5 of docs/design.md. */
import type { Workspace } from "../src/model/workspace.ts";

export interface User {
    readonly name: string;
    readonly dataCentres: readonly string[];
    /** One-way latency between data centres. */
    readonly remoteLatencyMs: number;
    readonly instancesPerDataCentre: number;
    readonly workspaces: readonly Workspace[];
    /** Number of statements that one database runs concurrently. */
    readonly slots: number;
    readonly connectionLimit: number;
}

// The design states 8 workspaces, a few of them large, but no rates; the rates are assumptions of the benchmark.
const largeRate = { ratePerSecond: 150, burst: 60 };
const smallRate = { ratePerSecond: 20, burst: 20 };

function workspaces(prefix: string): readonly Workspace[] {
    return Array.from({ length: 8 }, (_, index) => ({
        name: `${prefix}${index}`,
        ...(index < 3 ? largeRate : smallRate),
        keyValidityMs: 10_000,
        version: 1,
    }));
}

export const users: readonly User[] = [
    {
        name: "duinplank",
        dataCentres: ["flanders", "wallonia", "brussels"],
        remoteLatencyMs: 4,
        instancesPerDataCentre: 3,
        workspaces: workspaces("dealer"),
        slots: 3,
        connectionLimit: 20,
    },
    {
        name: "trust",
        dataCentres: ["north", "central", "south"],
        remoteLatencyMs: 3,
        instancesPerDataCentre: 3,
        workspaces: workspaces("school"),
        slots: 5,
        connectionLimit: 50,
    },
];
