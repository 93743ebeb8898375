import type { TraceContext } from "../process/tracing/traceContext.ts";
import type { ClaimDecision } from "./claimDecision.ts";
import type { KeptAnswer } from "./keptAnswer.ts";

/** How a claimed request ended, to answer retries of its caller. */
export type ClaimEnd =
    | { kind: "finished"; answer: KeptAnswer; }
    /** Certainly not run, so a retry may run. */
    | { kind: "notRun"; }
    | { kind: "unknown"; };

/** Ensures that requests with the same idempotency key run at most once over all nodes. */
export interface ClaimGate {
    /**
     * Claims a key for a request.
     * @param key - The customer's name, a slash and the caller's key.
     * @param bodyHash - Hash of the method, the path and the body.
     * @param claimant - Unique id of the request.
     * @param parent - Parent span of the calls to peers.
     */
    claim(key: string, bodyHash: string, claimant: string, parent: TraceContext): Promise<ClaimDecision>;
    /** Records how a request whose claim was granted has ended. */
    settle(key: string, end: ClaimEnd): void;
}
