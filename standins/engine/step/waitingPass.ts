import type { Pass, PassResult } from "../../../src/connection/endpoint/engineProtocol.ts";

/** A pass that waits for its step or for the end of it. */
export interface WaitingPass {
    pass: Pass;
    /** What makes two passes the same: request, attempt, model, position and layer range. */
    key: string;
    /** Tokens at layer 0, activations later; one a position. */
    inputs: number[];
    /** Called with the result; more than one where the pass was sent again. */
    listeners: ((result: PassResult) => void)[];
}
