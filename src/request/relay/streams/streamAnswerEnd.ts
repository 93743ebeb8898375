import type { AnswerHead } from "../answers/answerHead.ts";
import type { CompleteAnswer } from "../answers/completeAnswer.ts";

/** How an endpoint's answer to a streamed request ended, if the connection didn't fail. */
export type StreamAnswerEnd =
    /** All events were received. */
    | { kind: "whole"; head: AnswerHead; }
    /** The stream ended within an event, or with its connection before its first event. */
    | {
        kind: "cut";
        /** Whether the endpoint closed the connection instead of ending its answer, as it does when it crashes. */
        isConnectionClosed: boolean;
    }
    /** The endpoint guarantees that it has not run the request. */
    | { kind: "refused"; head: AnswerHead; }
    /** The endpoint answered with a failure, or with a success without its signature. `answer` is what may be forwarded to the caller. */
    | { kind: "failed"; head: AnswerHead; answer: CompleteAnswer | undefined; }
    /** An event, or the comments between two events, exceed the maximum size. */
    | { kind: "oversized"; maximumBytes: number; }
    /** Bytes came that are no event. The events before them were received. */
    | { kind: "invalid"; }
    /** The answer belongs to another request. */
    | { kind: "foreign"; };
