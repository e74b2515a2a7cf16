/** For how long there will still be no control leader. */

/**
 * Time from the first unanswered request until another member leads: an election begins after 1 to 2 s without
 * heartbeats, and the first of the members that are left begins it.
 */
const usualAbsenceMs = 1_250;

export interface LeaderAbsence {
    /**
     * Returns the expected time until a leader answers again.
     * @param silentForMs time for which none has answered
     */
    expectedMs(silentForMs: number): number;
}

/**
 * Load answered: callers within the rates of their workspaces while a failed leader is replaced. The parts of the rates
 * that instances may use by themselves are below one operation, so that most callers need the next leader, and are better
 * served by it within their objective than refused. An absence that exceeds the usual one is expected to last for as long
 * again, so that nobody waits for a leader that does not come.
 */
export class FailoverAbsence implements LeaderAbsence {
    expectedMs(silentForMs: number): number {
        return silentForMs < usualAbsenceMs ? usualAbsenceMs - silentForMs : silentForMs;
    }
}
