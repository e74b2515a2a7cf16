/** Interface between the sink for `backend.*` messages and a database protocol. */
import type { Outcome } from "../model/outcome.ts";

/** One connection to one database. */
export interface DatabaseConnection {
    /** Errors reported by the database are outcomes; the promise is rejected only if the connection became unusable. */
    execute(text: string): Promise<Outcome>;
    /** Whether a transaction was open after the last statement. */
    readonly inTransaction: boolean;
    /** Closes the connection immediately, without waiting for an answer. */
    destroy(): void;
}

/** Opens connections over one database protocol. */
export interface DatabaseAdapter {
    /**
     * @param address `host:port`
     * @param onEnd called once when an established connection ends, whichever side closes it
     */
    open(address: string, timeoutMs: number, onEnd: (reason: string) => void): Promise<DatabaseConnection>;
}
