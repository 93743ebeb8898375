const resetCode = "ECONNRESET";

/**
 * Checks if the other side accepted a connection and closed it at once, as endpoints do that have too many. The path to it works.
 * @param reason - Why the connection was not opened.
 */
export function isResetFailure(reason: string): boolean {
    return reason.includes(resetCode);
}
