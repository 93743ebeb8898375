/**
 * Checks if an error says that the machine is up but no process listens on the port.
 * @param error - Error of the HTTP library or of a socket.
 */
export function isConnectionRefused(error: unknown): boolean {
    return ((error ?? {}) as { code?: unknown; }).code === "ECONNREFUSED";
}
