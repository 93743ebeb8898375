import type { Pass, PassResult } from "../../../src/connection/endpoint/engineProtocol.ts";

/** A pass that is waiting or part of the running step. */
export interface WaitingPass {
    pass: Pass;
    /** Key of the request, attempt, model, position and layer range. Passes with the same key are equal. */
    key: string;
    /** Tokens at layer 0 or activations at later layers, one per position. */
    inputs: number[];
    /** Callbacks for the result, one for each time the pass was sent. */
    listeners: ((result: PassResult) => void)[];
}
