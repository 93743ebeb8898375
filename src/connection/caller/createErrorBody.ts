import type { RequestError } from "../../request/requestError.ts";

/** The error shape that OpenAI's clients read, with the outcome beside it. */
interface ErrorBody {
    error: {
        message: string;
        type: string;
        code: string;
        /** Whether the request ran. */
        outcome: RequestError["outcome"];
    };
}

const firstServerErrorStatus = 500;

/**
 * Turns an error into the body that callers get.
 * @param error - The final answer.
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
