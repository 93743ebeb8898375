import type { RefusalReason } from "./refusalReason.ts";

/** The final answer to a request that no endpoint answers. */
export interface RelayRefusal {
    reason: RefusalReason;
    /** What happened and what the caller can do, in one or two sentences. */
    message: string;
    /** Delay after which the caller should retry, in milliseconds. Set only if the request has not run. */
    retryAfterMilliseconds?: number;
}
