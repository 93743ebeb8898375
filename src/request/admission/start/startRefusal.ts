import type { StartBound } from "./startBound.ts";

/** The decision to refuse a request, with the delay after which its caller should retry. */
export interface StartRefusal {
    kind: "refuse";
    cause: string;
    bound: StartBound;
    retryAfterMilliseconds: number;
}
