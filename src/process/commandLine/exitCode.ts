/** Exit codes of the command line. */
export const ExitCode = {
    Success: 0,
    /** The command line is invalid. */
    Usage: 1,
    /** A file is missing or invalid. */
    InvalidFile: 2,
    /** Another edit of the configuration came first. Nothing was written. */
    LostRace: 3,
    /** The platform or a node could not be reached, or rejected the call. */
    Unreachable: 4,
    /** The configuration was accepted, but was not confirmed to be in force on every node in time. */
    NotInForce: 5,
    /** An unexpected error. */
    Unexpected: 70,
} as const;
export type ExitCode = typeof ExitCode[keyof typeof ExitCode];
