/** Estimates of the memory that connections and requests of callers need, in bytes. */
export const memoryEstimates = {
    /** An open connection by itself. */
    connection: 4 * 1024,
    /** A request, beside its body and its answer, while it is handled. */
    exchange: 12 * 1024,
    /** A request while it waits for its turn. */
    waitingRequest: 6 * 1024,
} as const;
