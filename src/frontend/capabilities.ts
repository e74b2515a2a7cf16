/** Capability and status flags of the MySQL protocol. */

/** Capabilities that the front end supports, with their protocol bits. */
const supportedCapabilities = {
    longPassword: 0x0000_0001,
    foundRows: 0x0000_0002,
    longFlag: 0x0000_0004,
    connectWithDatabase: 0x0000_0008,
    ignoreSpace: 0x0000_0100,
    protocol41: 0x0000_0200,
    transactions: 0x0000_2000,
    secureConnection: 0x0000_8000,
    pluginAuthentication: 0x0008_0000,
    connectAttributes: 0x0010_0000,
} as const;

/**
 * Excludes EOF deprecation, session tracking, TLS, compression and multiple statements: the server side of mysql2 does
 * not implement them, and a client that negotiated one of them would wait for a response indefinitely.
 */
export const serverCapabilities = Object.values(supportedCapabilities).reduce((flags, flag) => flags | flag, 0);

export const ServerStatus = {
    InTransaction: 0x0001,
    Autocommit: 0x0002,
} as const;

/**
 * Returns the status flags of a response. They must be accurate: client libraries send COMMIT only when the last OK
 * packet reported an open transaction.
 */
export function serverStatus(inTransaction: boolean): number {
    return ServerStatus.Autocommit | (inTransaction ? ServerStatus.InTransaction : 0);
}
