/** What the sink for backend messages needs of a database protocol. */
import type { Outcome } from "../model/outcome.ts";

/** One connection to one database. */
export interface DatabaseConnection {
    /** The database's own errors are outcomes; a rejection means that the connection is no longer usable. */
    execute(text: string): Promise<Outcome>;
    /** Whether a transaction was open after the last statement. */
    readonly inTransaction: boolean;
    /** Ends the connection at once, without waiting for an answer. */
    destroy(): void;
}

/** Opens connections of one protocol. */
export interface DatabaseAdapter {
    /**
     * @param address `host:port`
     * @param onEnd called once when an opened connection ends, by either side
     */
    open(address: string, timeoutMs: number, onEnd: (reason: string) => void): Promise<DatabaseConnection>;
}
