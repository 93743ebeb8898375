import type { RelayEnvironment } from "../relayEnvironment.ts";
import type { RelayTask } from "../relayTask.ts";
import { getAnswerSize } from "./getAnswerSize.ts";

/** Estimates the time within which most requests like one that has not begun are answered, in milliseconds. */
export function estimateAnswerDuration(
    { clock, firstEvents, answerTimes }: Pick<RelayEnvironment, "clock" | "firstEvents" | "answerTimes">,
    task: Pick<RelayTask, "request" | "route" | "service" | "dueAt">,
): number {
    const { route, service, dueAt } = task;
    const firstEventMilliseconds = service.engine === undefined ? 0 : firstEvents.getExpected();
    const expected = firstEventMilliseconds + answerTimes.getExpected(route.name, getAnswerSize(task));
    return Math.min(expected, dueAt - clock.getMonotonicTime());
}
