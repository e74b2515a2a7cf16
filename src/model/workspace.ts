/** Workspaces, their keys, and routes open to callers without a key. */

/** A tenant with its fleet-wide rate. */
export interface Workspace {
    readonly name: string;
    /** Statements per second, counted over all instances together. */
    readonly ratePerSecond: number;
    /** Statements that may run at once after a quiet time. */
    readonly burst: number;
    /** Time without proof of a recent configuration after which this workspace's keys are refused. */
    readonly keyValidityMs: number;
    readonly version: number;
}

/** A caller's key. Only the double SHA-1 of its secret is kept. */
export interface CallerKey {
    readonly id: string;
    readonly workspace: string;
    /** SHA-1 of the SHA-1 of the secret, 40 hexadecimal digits. */
    readonly doubleSha1Hex: string;
    readonly version: number;
}

/** A service that callers may read without a key, on behalf of a workspace whose rate it uses. */
export interface OpenRoute {
    readonly service: string;
    readonly workspace: string;
    readonly version: number;
}
