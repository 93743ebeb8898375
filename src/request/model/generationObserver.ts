import type { PassResult } from "../../connection/endpoint/engineProtocol.ts";
import type { PassFailure } from "../../connection/endpoint/passFailure.ts";
import type { Result } from "../../result.ts";
import type { NextPass } from "./generationStep.ts";

/** Hears of what happens while an answer is generated: spans, metrics and events hang on it. */
export interface GenerationObserver {
    /** A pass leaves; the returned function is called with its result. */
    onPassSent(endpoint: string, pass: NextPass): (result: Result<PassResult, PassFailure>) => void;
    onAttemptBroken(failure: PassFailure): void;
    /** Tokens flow again, this many milliseconds after the attempt broke. */
    onRecovered(elapsedMilliseconds: number): void;
    /** The answer has ended, and so many positions ran again for it on new chains. */
    onRebuilt(positions: number): void;
    onStaleResult(reason: string): void;
}
