import type { AnswerHead } from "./answerHead.ts";
import type { WholeAnswer } from "./wholeAnswer.ts";

/** How an endpoint's answer to a streamed request came to its end, where its connection didn't break. */
export type StreamAnswerEnd =
    /** All events are here. */
    | { kind: "whole"; head: AnswerHead; }
    /** The stream ended within an event. */
    | { kind: "cut"; }
    /** The endpoint promises that it has not run the request. */
    | { kind: "refused"; head: AnswerHead; }
    /** The endpoint answered with a failure, or with a success that isn't its own; `answer` is what may go on to the caller. */
    | { kind: "failed"; head: AnswerHead; answer: WholeAnswer | undefined; }
    /** The answer belongs to another request. */
    | { kind: "foreign"; };
