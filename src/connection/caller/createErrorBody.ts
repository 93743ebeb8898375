import type { RequestError } from "../../request/requestError.ts";

/** Error format of the OpenAI API, with the outcome added. */
interface ErrorBody {
    error: {
        message: string;
        type: string;
        code: string;
        /** Outcome of the request, which states if it ran. */
        outcome: RequestError["outcome"];
    };
}

const firstServerErrorStatus = 500;

/**
 * Creates the response body of an error.
 */
export function createErrorBody(error: RequestError): ErrorBody {
    const type = error.status < firstServerErrorStatus ? "invalid_request_error" : "server_error";
    return {
        error: {
            message: error.message,
            type,
            code: error.code,
            outcome: error.outcome,
        },
    };
}
