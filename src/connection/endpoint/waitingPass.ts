import type { Result } from "../../result.ts";
import type { Pass, PassResult } from "./engineProtocol.ts";
import type { PassFailure } from "./passFailure.ts";

/** A pass that has been given to an engine's connection and is not settled. */
export interface WaitingPass {
    pass: Pass;
    /** Positions that the pass covers, as far as known. */
    positions: number;
    /** Monotonic time of each send, in milliseconds. */
    sentAt: number[];
    /** Whether a byte of the pass may have reached the engine. */
    mayHaveArrived: boolean;
    /** Whether a probe decides what becomes of the pass. */
    isDoubtful: boolean;
    settle(outcome: Result<PassResult, PassFailure>): void;
    cancelTimer(): void;
}
