/** Limits of the holder pipe. */

export interface HolderSettings {
    /** Longest time for opening a connection. */
    readonly openTimeoutMs: number;
    /** A statement without an answer for this long has its connection closed. */
    readonly statementLimitMs: number;
    /** Idle time after which a connection is probed. */
    readonly probeIdleMs: number;
    /** A probe without an answer for this long has its connection closed. */
    readonly probeTimeoutMs: number;
    /** A session that leaves a transaction without statements for this long loses it. */
    readonly idleTransactionLimitMs: number;
    /** Time after a statement's deadline for which its write may wait for a majority. */
    readonly confirmationLimitMs: number;
    /** Part of the waiting time for which a read waits until a replica has caught up. */
    readonly freshnessWaitShare: number;
    /** Repeats of reads, as a share of first attempts. */
    readonly retryRatio: number;
    /** Interval at which the position of a held database is read when nobody waits for it. */
    readonly positionIntervalMs: number;
    /** Interval of `holder.database_health`. */
    readonly healthIntervalMs: number;
    /** Longest time for an order, including opening its connection. */
    readonly orderLimitMs: number;
    /** Keys whose last written position is kept per primary. */
    readonly maximumFloorEntries: number;
}

export const defaultHolderSettings: HolderSettings = {
    openTimeoutMs: 1_000,
    statementLimitMs: 30_000,
    probeIdleMs: 5_000,
    probeTimeoutMs: 1_000,
    idleTransactionLimitMs: 60_000,
    confirmationLimitMs: 2_000,
    freshnessWaitShare: 0.5,
    retryRatio: 0.1,
    positionIntervalMs: 250,
    healthIntervalMs: 500,
    orderLimitMs: 2_000,
    maximumFloorEntries: 100_000,
};
