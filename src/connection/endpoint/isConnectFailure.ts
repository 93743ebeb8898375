const connectFailureCodes: ReadonlySet<string> = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "EADDRNOTAVAIL",
]);

const connectTimeoutCode = "UND_ERR_CONNECT_TIMEOUT";

/**
 * Checks if an error occurred before a connection was established, so that no byte of the request can have arrived.
 * @param error - Error of the HTTP library.
 */
export function isConnectFailure(error: unknown): boolean {
    const { code, syscall } = (error ?? {}) as { code?: unknown; syscall?: unknown; };
    if (code === connectTimeoutCode) {
        return true;
    }
    // Reads and writes of an established connection can raise these codes as well.
    return syscall === "connect" && typeof code === "string" && connectFailureCodes.has(code);
}
