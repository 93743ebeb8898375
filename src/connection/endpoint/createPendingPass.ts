import type { Result } from "../../result.ts";
import type { Pass, PassResult } from "./engineProtocol.ts";
import type { PassFailure } from "./passFailure.ts";
import type { PendingPass } from "./pendingPass.ts";

/**
 * Creates the state of a pass that was not sent yet.
 * @param pass - The pass.
 * @param positions - Number of positions that the pass covers, as far as known.
 * @param settle - Called once with the result or the failure.
 */
export function createPendingPass(
    pass: Pass,
    positions: number,
    settle: (outcome: Result<PassResult, PassFailure>) => void,
): PendingPass {
    return {
        pass,
        positions,
        sentAt: [],
        mayHaveArrived: false,
        isBeingProbed: false,
        settle,
        cancelTimer: () => undefined,
    };
}
