/** Exit codes of the program. */
export const ExitCode = {
    Success: 0,
    /** Unexpected error in the program; stderr has the message. */
    InternalError: 1,
    /** Unknown command or flag, invalid value, or missing setting. */
    Usage: 2,
    /** The current version of the object is not the version that the change expected. */
    Conflict: 3,
    /** The change is invalid, or its object does not exist; repeating the command does not help. */
    Invalid: 4,
    /** No server answered in time; whether a change was applied is unknown. */
    Unreachable: 5,
    /** The server rejected the request, for example because of a wrong cluster secret. */
    Refused: 6,
    /** The filters emitted other messages in a replay than in the recorded run. */
    ReplayMismatch: 7,
} as const;
export type ExitCode = typeof ExitCode[keyof typeof ExitCode];
