import type { Clock } from "./clock.ts";

/** The clock of this process. */
export const systemClock: Clock = {
    getMonotonicTime: () => performance.now(),
    getWallTime: () => Date.now(),
    setTimer: (delayMilliseconds, callback) => {
        const timer = setTimeout(callback, delayMilliseconds);
        return { cancel: () => clearTimeout(timer) };
    },
};
