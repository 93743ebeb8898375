import type { Refusal } from "./refusal.ts";
import { RefusalKind } from "./refusalKind.ts";

/** Creates the refusal of a request whose caller disconnected. */
export function createCancelledRefusal(): Refusal {
    return {
        kind: RefusalKind.Cancelled,
        retryAfterMilliseconds: 0,
        message: "The caller disconnected before the request started; it has not run. Send it again to run it.",
    };
}
