import type { Clock } from "../clock.ts";

/** So long a piece of work may hold the event loop up; on a small part of a core it takes several times as long. */
const sliceMilliseconds = 4;

/**
 * Does work that takes long in slices, between which the event loop reads and sends.
 * @param work - Yields wherever it may pause, and returns the result.
 * @param clock - Tells when a slice is over, and runs the next one.
 */
export async function runInSlices<Result>(
    work: Iterator<void, Result>,
    clock: Pick<Clock, "getMonotonicTime" | "setTimer">,
): Promise<Result> {
    let until = clock.getMonotonicTime() + sliceMilliseconds;
    let step = work.next();
    while (step.done !== true) {
        if (clock.getMonotonicTime() >= until) {
            await new Promise<void>(resolve => clock.setTimer(0, resolve));
            until = clock.getMonotonicTime() + sliceMilliseconds;
        }
        step = work.next();
    }
    return step.value;
}
