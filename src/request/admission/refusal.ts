import type { RefusalKind } from "./refusalKind.ts";

/** A request that was not admitted: it has not run and will not run. */
export interface Refusal {
    kind: RefusalKind;
    /** When the caller should come back, in milliseconds from now; spread at random between callers. */
    retryAfterMilliseconds: number;
    /** What is the matter and what to do about it. */
    message: string;
}
