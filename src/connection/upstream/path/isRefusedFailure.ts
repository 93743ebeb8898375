/** Error code of a connection to a port on which nothing listens. */
const refusedCode = "ECONNREFUSED";

/**
 * Checks if the reason why a connection was not opened says that the machine is up but no process listens on the port.
 * @param reason - Message of the error, also if a peer sent it.
 */
export function isRefusedFailure(reason: string): boolean {
    return reason.includes(refusedCode);
}
