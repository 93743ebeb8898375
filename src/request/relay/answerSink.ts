import type { AnswerHead } from "./answerHead.ts";
import type { RelayRefusal } from "./relayRefusal.ts";

/** Where the answer to a caller goes. Ends with exactly one of `end`, `refuse` and `cut`. */
export interface AnswerSink {
    /** Calls back once the caller goes before its answer has ended. */
    onClosed(callback: () => void): void;
    /** Begins the answer with an endpoint's status and headers. */
    writeHead(head: AnswerHead): void;
    write(chunk: Buffer): void;
    /** Ends the answer as complete. */
    end(): void;
    /** Answers with a refusal; only before the head was written. */
    refuse(refusal: RelayRefusal): void;
    /** Breaks the answer off so that it can't be taken for a complete one. */
    cut(): void;
}
