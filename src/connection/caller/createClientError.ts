import { RequestError } from "../../request/requestError.ts";

/**
 * Creates the answer to bytes that the HTTP parser did not take for a request, or that came too late.
 * @param code - Code of the error that Node.js has raised.
 */
export function createClientError(code: string | undefined): RequestError {
    switch (code) {
        case "ERR_HTTP_REQUEST_TIMEOUT": {
            const message = "The request did not arrive whole in time. Send it again, and faster.";
            return RequestError.invalid(408, "request_timeout", message);
        }
        case "HPE_HEADER_OVERFLOW":
            return RequestError.invalid(
                431,
                "headers_too_large",
                "The headers are too large. Send fewer or shorter ones.",
            );
        default:
            return RequestError.invalid(400, "invalid_http", "The bytes are not an HTTP/1.1 request. Send one.");
    }
}
