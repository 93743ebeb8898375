import type { KeptAnswer } from "../request/keptAnswer.ts";

/** What a node knows of a claimed request that it received. */
export type KeptState = {
    /** Claimant under which the key is, or may be, in the claim log. */
    claimant: string;
    bodyHash: string;
} & KeptProgress;

/** How far the request has come. */
type KeptProgress =
    | { kind: "running"; }
    | { kind: "finished"; answer: KeptAnswer; }
    /** Granted and not used: a repeat may run under the claimant, once. */
    | { kind: "granted"; }
    /** Never known to be granted, and surely not run: a repeat may go on claiming under the claimant. */
    | { kind: "released"; }
    /** The unused grant, or the claimant's name, was given to another node. */
    | { kind: "moved"; nodeId: string; }
    /** Started; how it ended is not known. */
    | { kind: "unknown"; };
