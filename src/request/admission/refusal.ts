import type { RefusalKind } from "./refusalKind.ts";

/** The refusal of a request, which has not run and will not run. */
export interface Refusal {
    kind: RefusalKind;
    /** Time after which the caller should retry; with jitter. */
    retryAfterMilliseconds: number;
    /** The problem and what the caller can do about it. */
    message: string;
}
