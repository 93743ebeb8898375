import type { AnswerHead } from "./answerHead.ts";

/** A complete answer of an endpoint. */
export interface CompleteAnswer {
    head: AnswerHead;
    body: Buffer;
}
