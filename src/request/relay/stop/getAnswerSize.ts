import { getExpectedAnswerTokens } from "../chains/getExpectedAnswerTokens.ts";
import type { RelayTask } from "../relayTask.ts";

/** Gets the expected size of an answer: its tokens if it is a stream, else 1, since nothing is known of the size of documents. */
export function getAnswerSize({ request, service }: Pick<RelayTask, "request" | "service">): number {
    const { engine } = service;
    if (engine === undefined) {
        return 1;
    }
    return Math.max(1, getExpectedAnswerTokens(engine, request));
}
