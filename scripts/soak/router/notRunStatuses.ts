/** Statuses that guarantee that a request has not run and never will. */
export const notRunStatuses: readonly number[] = [408, 421, 429, 503];
