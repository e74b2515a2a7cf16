/** Settings of the holder pipe. */

export interface HolderSettings {
    /** Timeout for opening a connection. */
    readonly openTimeoutMs: number;
    /** Time without a result after which the connection of a statement is closed. */
    readonly statementLimitMs: number;
    /** Idle time after which a connection is probed. */
    readonly probeIdleMs: number;
    /** Time without an answer after which a probed connection is closed. */
    readonly probeTimeoutMs: number;
    /** Time without a statement after which an open transaction is rolled back. */
    readonly idleTransactionLimitMs: number;
    /** Time past the deadline of a statement for which its write may wait for confirmation by a majority. */
    readonly confirmationLimitMs: number;
    /** Share of a read's remaining waiting time that it may spend waiting for a replica to catch up. */
    readonly freshnessWaitShare: number;
    /** Retries of reads, as a ratio of first attempts. */
    readonly retryRatio: number;
    /** Interval at which the position of a monitored database is read while no filter waits for it. */
    readonly positionIntervalMs: number;
    /** Interval at which the health of databases is reported. */
    readonly healthIntervalMs: number;
    /** Timeout of an order, including the opening of its connection. */
    readonly orderLimitMs: number;
    /** Number of keys per primary whose last written position is stored. */
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
