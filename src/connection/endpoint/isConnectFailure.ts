const connectFailureCodes: ReadonlySet<string> = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "EADDRNOTAVAIL",
    "UND_ERR_CONNECT_TIMEOUT",
]);

/**
 * Tells whether an error shows that no connection came about, so that no byte of the request can have arrived.
 * @param error - What the HTTP library threw.
 */
export function isConnectFailure(error: unknown): boolean {
    const code = (error as { code?: unknown; } | undefined)?.code;
    return typeof code === "string" && connectFailureCodes.has(code);
}
