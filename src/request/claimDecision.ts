import type { KeptAnswer } from "./keptAnswer.ts";

/** The result of claiming an idempotency key. */
export type ClaimDecision =
    /** This request may run, and no other with the same key. */
    | { kind: "granted"; }
    /** An earlier request with the key has finished with this answer. */
    | { kind: "answered"; answer: KeptAnswer; }
    /** An earlier request with the key is running, on this or another node. */
    | { kind: "running"; }
    /** An earlier request with the key was started, and its answer is lost or may arrive too late to be stored. */
    | { kind: "unknown"; }
    /** The key was used with a different body. */
    | { kind: "bodyMismatch"; }
    /** The key is malformed, expired or from the future. */
    | { kind: "badKey"; message: string; }
    /** The claim failed, so this attempt does not run. If `isUnclaimed`, no earlier attempt with the key is known. */
    | { kind: "unavailable"; isUnclaimed: boolean; };
