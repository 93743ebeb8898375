import type { AnswerHead } from "./answerHead.ts";
import type { RelayRefusal } from "./relayRefusal.ts";

/** Destination of the answer to a caller. Exactly one of `end`, `refuse` and `cut` must be called last. */
export interface AnswerSink {
    /** Registers a callback for when the caller disconnects before its answer has ended. */
    onClosed(callback: () => void): void;
    /**
     * Starts the answer with an endpoint's status and headers.
     * @param head - Status and headers.
     * @param isWhole - Whether the whole body and the end follow at once, in the same turn of the event loop. Default: they don't.
     */
    writeHead(head: AnswerHead, isWhole?: boolean): void;
    write(chunk: Buffer): void;
    /** Checks if so much waits for the caller that no more should be read from the endpoint. Default: never. */
    needsDrain?(): boolean;
    /** Sets the callback for when the caller has taken what waited. */
    onDrain?(callback: () => void): void;
    /** Notes that a part of the answer was received, and is kept until the answer is written as a whole. */
    noteKept?(bytes: number): void;
    /** Ends the answer as complete. */
    end(): void;
    /** Answers with a refusal. Only allowed before the head is written. */
    refuse(refusal: RelayRefusal): void;
    /** Aborts the answer in a way that the caller can't mistake for its end. If no byte of it was sent, the caller gets a refusal instead. */
    abort(): void;
}
