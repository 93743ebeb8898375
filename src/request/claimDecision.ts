import type { KeptAnswer } from "./keptAnswer.ts";

/** What the claim of an idempotency key came to. */
export type ClaimDecision =
    /** This request, and no other, may run. */
    | { kind: "granted"; }
    /** The request ran before; this is its answer. */
    | { kind: "answered"; answer: KeptAnswer; }
    /** The request is running, on this or another node. */
    | { kind: "running"; }
    /** The request was started; its answer is lost or may come too late to be known. */
    | { kind: "unknown"; }
    /** The key was used with another body. */
    | { kind: "bodyMismatch"; }
    /** The key is malformed, past its window, or from the future. */
    | { kind: "badKey"; message: string; }
    /** The claim could not be made: this sending does not run. Where the key is unclaimed, no earlier one is known. */
    | { kind: "unavailable"; isUnclaimed: boolean; };
