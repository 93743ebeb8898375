import type { KeptAnswer } from "../request/keptAnswer.ts";

/** State of a claimed request on the node that received it. */
export type KeptState = {
    /** Claimant that the claim log has, or may have, recorded for the key. */
    claimant: string;
    bodyHash: string;
} & KeptProgress;

/** Progress of the request. */
type KeptProgress =
    | { kind: "running"; }
    | { kind: "finished"; answer: KeptAnswer; }
    /** Granted but not run: one retry may run as the same claimant. */
    | { kind: "granted"; }
    /** Not known to be granted, and certainly not run: a retry may continue claiming as the same claimant. */
    | { kind: "released"; }
    /** The unused grant, or the right to claim as the claimant, was transferred to another node. */
    | { kind: "moved"; nodeId: string; }
    /** Started, but the outcome is unknown. */
    | { kind: "unknown"; };
