import type { LogEvent } from "../logging/logEvent.ts";

/** Actions that a {@link LeaseState} requests after an event. */
export interface LeaseOutput {
    /** Call to make on the lease's key. There is no further call before its result is passed back. */
    call?: { kind: "read"; } | { kind: "swap"; expectedRevision: number; value: string; };
    /** Monotonic time in milliseconds of the next wake-up; replaces the previous one. */
    wakeAt?: number;
    logs: { event: LogEvent; fields: Record<string, string | number>; }[];
}
