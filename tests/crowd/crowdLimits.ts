/** Limits that the tests set for the program, lower than on the platform, so that a small crowd exceeds them. */
export const crowdLimits = {
    /** Memory of the machine. */
    memoryMegabytes: 250,
    /** Descriptors of the process, of which 200 are for files. */
    descriptors: 400,
    /** Maximum size of the body of a request. */
    bodyBytes: 2 * 1024 * 1024,
} as const;
