import type { AnswerInstructions } from "../instructions/answerInstructions.ts";

/** Response of an engine to a call that is not a batch of passes. */
export interface EngineAnswer {
    status: number;
    instructions: AnswerInstructions;
    /** The parsed JSON, or undefined if the body is empty. */
    body: unknown;
}
