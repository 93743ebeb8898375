import { RequestError } from "../../request/requestError.ts";

/**
 * Creates the error for bytes that the HTTP parser rejected, or for a request that was not received in time.
 * @param code - Code of the error that Node.js raised.
 */
export function createClientError(code: string | undefined): RequestError {
    switch (code) {
        case "ERR_HTTP_REQUEST_TIMEOUT": {
            const message = "The request was not received completely in time. Send it again faster.";
            return RequestError.invalid(408, "request_timeout", message);
        }
        case "HPE_HEADER_OVERFLOW":
            return RequestError.invalid(
                431,
                "headers_too_large",
                "The headers are too large. Send fewer or shorter headers.",
            );
        default:
            return RequestError.invalid(
                400,
                "invalid_http",
                "The bytes are not a valid HTTP/1.1 request. Correct the request.",
            );
    }
}
