import type { IncomingHttpHeaders } from "node:http";
import type { AnswerInstructions } from "./answerInstructions.ts";
import { instructionHeaderNames } from "./instructionHeaderNames.ts";
import { readInstructions } from "./readInstructions.ts";

/** Reads the instructions of an answer of an endpoint of `foxlead node`. */
export function readHeaderInstructions(status: number, headers: IncomingHttpHeaders): AnswerInstructions {
    const leaving = headers[instructionHeaderNames.leaving];
    const retryAfter = headers[instructionHeaderNames.retryAfter];
    return readInstructions(status, { leaving, retryAfter }, Date.now());
}
