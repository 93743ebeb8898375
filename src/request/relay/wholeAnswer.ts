import type { AnswerHead } from "./answerHead.ts";

/** An answer of an endpoint that has come to its end. */
export interface WholeAnswer {
    head: AnswerHead;
    body: Buffer;
}
