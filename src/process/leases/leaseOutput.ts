import type { LogEvent } from "../logging/logEvent.ts";

/** What a lease's decisions want done after an event. */
export interface LeaseOutput {
    /** Call to make on the lease's key; its result is the next event of its kind. Never a second one before. */
    call?: { kind: "read"; } | { kind: "swap"; expectedRevision: number; value: string; };
    /** Monotonic time in milliseconds at which to wake the lease; replaces the earlier one. */
    wakeAt?: number;
    logs: { event: LogEvent; fields: Record<string, string | number>; }[];
}
