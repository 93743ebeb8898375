import type { Clock } from "../clock.ts";

/** Maximum time that a slice blocks the event loop. With a small share of a core it takes several times as long. */
const sliceMilliseconds = 4;

/**
 * Runs long work in slices, between which the event loop handles input and output.
 * @param work - Yields wherever it can be interrupted, and returns the result.
 * @param clock - Measures the slices, and schedules the next one.
 */
export async function runInSlices<Result>(
    work: Iterator<void, Result>,
    clock: Pick<Clock, "getMonotonicTime" | "setTimer">,
): Promise<Result> {
    let sliceEnd = clock.getMonotonicTime() + sliceMilliseconds;
    let step = work.next();
    while (step.done !== true) {
        if (clock.getMonotonicTime() >= sliceEnd) {
            await new Promise<void>(resolve => clock.setTimer(0, resolve));
            sliceEnd = clock.getMonotonicTime() + sliceMilliseconds;
        }
        step = work.next();
    }
    return step.value;
}
