import { NotRunPermit } from "../../request/notRunPermit.ts";
import { RequestError } from "../../request/requestError.ts";

/** What gave way is let go of at once, so there is room soon. */
const retryAfterMilliseconds = 300;

/** Creates the error of a request whose body is not kept, because the process holds too much for its callers. It has not run. */
export function createMemoryError(): RequestError {
    return RequestError.notRun(NotRunPermit.create(), {
        status: 503,
        code: "memory_limit",
        message:
            "The request was not run: this node holds too much for its callers. Send it again after the given time, faster.",
        retryAfterMilliseconds,
    });
}
