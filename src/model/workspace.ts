/** Workspaces, their keys, and routes that need no key. */

/** A tenant and its rate limit, which applies to all instances together. */
export interface Workspace {
    readonly name: string;
    /** Statements per second over all instances together. */
    readonly ratePerSecond: number;
    /** Statements that may run at once after an idle period. */
    readonly burst: number;
    /** Time without proof of a recent configuration after which keys of this workspace are refused. */
    readonly keyValidityMs: number;
    readonly version: number;
}

/** Key of a caller. Only the double SHA-1 of its secret is stored. */
export interface CallerKey {
    readonly id: string;
    readonly workspace: string;
    /** SHA-1 of the SHA-1 of the secret, 40 hexadecimal digits. */
    readonly doubleSha1Hex: string;
    readonly version: number;
}

/** Allows callers to read from a service without a key; their statements count against the rate of the workspace. */
export interface OpenRoute {
    readonly service: string;
    readonly workspace: string;
    readonly version: number;
}
