/** Code of the HTTP client for a connection that did not open in time. */
const timeoutCode = "UND_ERR_CONNECT_TIMEOUT";
/** Code of a system call's error, such as ECONNREFUSED. */
const systemCodePattern = /\bE[A-Z]{4,}\b/;

/**
 * Creates the error of a connection that was not opened, with the code that the HTTP client would set.
 * @param reason - Why neither this node nor a peer opened it.
 */
export function createConnectError(reason: string): Error {
    const [code = timeoutCode] = systemCodePattern.exec(reason) ?? [];
    return Object.assign(new Error(reason), { code, syscall: "connect" });
}
