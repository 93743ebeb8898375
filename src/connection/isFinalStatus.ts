const lowestStatus = 200;
const highestStatus = 599;

/** Checks if a status can be that of an answer. HTTP defines no statuses above these, and those below them are informational. */
export function isFinalStatus(status: number): boolean {
    return status >= lowestStatus && status <= highestStatus;
}
