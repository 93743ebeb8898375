import type { Clock } from "./clock.ts";

/** Clock that reads the system time and sets real timers. */
export const systemClock: Clock = {
    getMonotonicTime: () => performance.now(),
    getWallTime: () => Date.now(),
    setTimer: (delayMilliseconds, callback) => {
        const timer = setTimeout(callback, delayMilliseconds);
        return { cancel: () => clearTimeout(timer) };
    },
};
