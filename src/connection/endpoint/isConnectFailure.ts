const connectFailureCodes: ReadonlySet<string> = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "EADDRNOTAVAIL",
]);

const connectTimeoutCode = "UND_ERR_CONNECT_TIMEOUT";

/**
 * Tells whether an error shows that no connection came about, so that no byte of the request can have arrived.
 * @param error - What the HTTP library threw.
 */
export function isConnectFailure(error: unknown): boolean {
    const { code, syscall } = (error ?? {}) as { code?: unknown; syscall?: unknown; };
    if (code === connectTimeoutCode) {
        return true;
    }
    // A connection that stands can raise these codes too, on a read or write.
    return syscall === "connect" && typeof code === "string" && connectFailureCodes.has(code);
}
