import type { PassResult } from "../../connection/endpoint/engineProtocol.ts";
import type { PassFailure } from "../../connection/endpoint/passFailure.ts";
import type { Result } from "../../result.ts";
import type { RefusedTime } from "./generationRetries.ts";
import type { NextPass } from "./generationStep.ts";

/** An engine without memory for an attempt holds an earlier attempt of the same answer, which waits for a silent or slow engine. */
interface MemoryConflict {
    refusingEndpoint: string;
    silentEndpoint: string;
    /** Whether the process of the silent engine is known to have ended. */
    hasEnded: boolean;
    /** Time since the earlier attempt has failed. */
    parkedMilliseconds: number;
    /** Whether the earlier attempt keeps its memory and is continued. */
    isKept: boolean;
}

/** Receives notifications while an answer is generated, to record spans, metrics and log events. */
export interface GenerationObserver {
    /** Called when a pass is sent. The returned function is called with the result of the pass. */
    onPassSent(endpoint: string, pass: NextPass): (result: Result<PassResult, PassFailure>) => void;
    /** Called when an attempt fails. */
    onAttemptFailed(failure: PassFailure): void;
    /** Called when a started answer that engines refused continues or ends. */
    onRefusalsEnded(refused: RefusedTime, isContinued: boolean): void;
    /** Called when an engine has no memory for an attempt since it holds an earlier one. */
    onMemoryConflict(conflict: MemoryConflict): void;
    /** Called at the first token after a failed attempt, with the time since the failure. */
    onRecovered(elapsedMilliseconds: number): void;
    /** Called at the end of an answer whose context was rebuilt, with the number of positions that ran again. */
    onContextRebuilt(positions: number): void;
    /** Called when a result is stale or malformed. */
    onStaleResult(reason: string): void;
}
