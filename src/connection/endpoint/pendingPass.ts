import type { Result } from "../../result.ts";
import type { Pass, PassResult } from "./engineProtocol.ts";
import type { PassFailure } from "./passFailure.ts";

/** A pass that is queued for an engine or in flight, and has no result yet. */
export interface PendingPass {
    pass: Pass;
    /** Number of positions that the pass covers, as far as known. */
    positions: number;
    /** Monotonic time of each send, in milliseconds. */
    sentAt: number[];
    /** Whether a byte of the pass may have reached the engine. */
    mayHaveArrived: boolean;
    /** Whether the pass waits for a probe, which decides if it is sent again or fails. */
    isBeingProbed: boolean;
    settle(outcome: Result<PassResult, PassFailure>): void;
    cancelTimer(): void;
}
