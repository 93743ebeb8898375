import type { ChainStage } from "../chain/chain.ts";

/** How far one attempt of an answer has got. */
export interface AttemptProgress {
    /** Number of the attempt, starting at 1. */
    attempt: number;
    stages: readonly ChainStage[];
    stageIndex: number;
    /** First position of the current pass. */
    position: number;
    /** Number of positions of the current pass. 0 until the first stage has reported it. */
    positionCount: number;
    /** First layer that the current positions have not run yet. The invariant depends on it. */
    nextLayer: number;
}
