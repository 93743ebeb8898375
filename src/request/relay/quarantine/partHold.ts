import type { RequestHold } from "./requestHold.ts";

/** Why requests with some parts in their prompts are held back. */
export interface PartHold extends RequestHold {
    parts: readonly string[];
    /** Whether one of the parts certainly crashes endpoints, so that no canary is sent. */
    isCertain: boolean;
    /** Monotonic time in milliseconds of the last crash that is held against one of the parts. */
    newestCrashAt: number;
}
