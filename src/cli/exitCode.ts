/** Exit codes of the program, by kind of failure. */
export const ExitCode = {
    Success: 0,
    /** The program itself failed; the message says where. */
    InternalError: 1,
    /** Unknown command, flag or value. */
    Usage: 2,
    /** The object changed since the operator looked at it. */
    Conflict: 3,
    /** The change can never be accepted as it is, or its object does not exist. */
    Invalid: 4,
    /** No server answered in time; the outcome of a change is unknown. */
    Unreachable: 5,
    /** The server refused the operator. */
    Refused: 6,
    /** A replay decided differently from the recorded run. */
    ReplayMismatch: 7,
} as const;
export type ExitCode = typeof ExitCode[keyof typeof ExitCode];
