const suffix = ".json";
const unknownMethod = "Unknown method ";

/** Names of methods whose messages are encoded as JSON. */
export const jsonMethod = {
    /** Gets the name of such a method in frames. */
    getName: (method: string): string => method + suffix,
    /** Creates the error message of a server for a method that it doesn't have. */
    describeUnknown: (method: string): string => `${unknownMethod}${method}.`,
    /** Checks if a call failed because the server is of a release without such methods. */
    isUnknown: (error: unknown): boolean =>
        error instanceof Error && error.message.includes(unknownMethod) && error.message.endsWith(`${suffix}.`),
} as const;
