import type { Chain } from "../chain/chain.ts";
import type { AttemptProgress } from "./attemptProgress.ts";
import type { NextPass } from "./generationStep.ts";
import type { SlowStageDetector } from "./slowStageDetector.ts";

/** An attempt of an answer whose sequence the engines of a chain hold. */
export interface ChainAttempt {
    chain: Chain;
    progress: AttemptProgress;
    detector: SlowStageDetector;
    /** Index of the stage that runs the next pass. */
    stage: number;
    pass: NextPass;
}
