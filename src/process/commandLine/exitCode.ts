/** Exit codes of the command line. */
export const ExitCode = {
    Success: 0,
    /** The command line itself is wrong. */
    Usage: 1,
    /** A file is missing or has faults. */
    BrokenFile: 2,
    /** Another edit of the configuration came first; nothing was written. */
    LostRace: 3,
    /** The platform, or a node, can't be reached or did not do it. */
    Unreachable: 4,
    /** The configuration was accepted, but is not known to be in force everywhere in time. */
    NotInForce: 5,
    /** An error that no one expected. */
    Unexpected: 70,
} as const;
export type ExitCode = typeof ExitCode[keyof typeof ExitCode];
