import type { AnswerHead } from "../../src/request/relay/answers/answerHead.ts";

/** Creates the head of an endpoint's answer to a stream. */
export function createHead(headers: string[] = []): AnswerHead {
    return {
        status: 200,
        headers: ["Content-Type", "text/event-stream", ...headers],
        isForRequest: true,
        isSigned: true,
        isNotRun: false,
        faultyAddress: undefined,
        requestsPerSecond: undefined,
        instructions: { isLeaving: false, pauseMilliseconds: undefined },
    };
}
