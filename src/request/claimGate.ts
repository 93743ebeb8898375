import type { TraceContext } from "../process/tracing/traceContext.ts";
import type { ClaimDecision } from "./claimDecision.ts";
import type { KeptAnswer } from "./keptAnswer.ts";

/** How a claimed request ended, for the repeats of its caller. */
export type ClaimEnd =
    | { kind: "finished"; answer: KeptAnswer; }
    /** Surely not run: a repeat may run. */
    | { kind: "notRun"; }
    | { kind: "unknown"; };

/** Makes sure that requests with the same idempotency key run at most once, over all nodes. */
export interface ClaimGate {
    /**
     * Claims a key for a request.
     * @param key - The customer's name, a slash and the caller's key.
     * @param bodyHash - Hash of what the request asks for.
     * @param claimant - Unique id of the request.
     * @param parent - Span that the calls to peers belong to.
     */
    claim(key: string, bodyHash: string, claimant: string, parent: TraceContext): Promise<ClaimDecision>;
    /** Notes how a request that was granted its claim has ended. */
    settle(key: string, end: ClaimEnd): void;
}
