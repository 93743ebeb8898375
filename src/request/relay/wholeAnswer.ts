import type { AnswerHead } from "./answerHead.ts";

/** A complete answer of an endpoint. */
export interface WholeAnswer {
    head: AnswerHead;
    body: Buffer;
}
