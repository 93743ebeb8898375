import type { RefusalReason } from "./refusalReason.ts";

/** The final answer to a request that gets none of an endpoint. */
export interface RelayRefusal {
    reason: RefusalReason;
    /** What happened and what the caller can do, in a sentence or two. */
    message: string;
    /** When the caller should come back, in milliseconds; only where the request has not run. */
    retryAfterMilliseconds?: number;
}
