/** Limits on what the connections of callers can take up before their messages are complete. */

export interface WireServerLimits {
    /** Time within which a new connection must have sent CONNECT, from its start; callers send it immediately. */
    readonly openingTimeoutMs: number;
    /** Time within which a message must be complete, from its first byte. */
    readonly messageTimeoutMs: number;
    /** Connections that have not sent CONNECT; the oldest one is ended first. */
    readonly maximumUnopened: number;
    /** All connections that have not been ended; a further one is refused. */
    readonly maximumConnections: number;
    /** Connections that were ended and that the caller has not closed; beyond it, the oldest one that has sent all is reset. */
    readonly maximumEnded: number;
    /** Incomplete messages of all connections; the connection with the largest one is ended first. */
    readonly incompleteBytes: number;
}

export const defaultWireServerLimits: WireServerLimits = {
    openingTimeoutMs: 5_000,
    // A message of the maximum size at 35 KB/s.
    messageTimeoutMs: 30_000,
    // Above the backlog of the listener, which is accepted in one turn before any connection is read.
    maximumUnopened: 1_024,
    // A process has 4,200 descriptors; files need 200 and databases, other instances and ended connections the rest.
    maximumConnections: 2_500,
    maximumEnded: 500,
    // 16 messages of the maximum size.
    incompleteBytes: 16 * 1_048_576,
};
