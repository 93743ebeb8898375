import type { LogEvent } from "../logging/logEvent.ts";
import type { ShardCall } from "./shardCall.ts";
import type { TicketVerdict } from "./ticketVerdict.ts";

/** What a claim shard wants done after an event. */
export interface ShardOutput {
    verdicts: TicketVerdict[];
    /** Call to make; its result is the next event of its kind. Never a second one before. */
    call?: ShardCall;
    /** Monotonic time in milliseconds at which to wake the shard; replaces the earlier one. */
    wakeAt?: number;
    logs: { event: LogEvent; fields: Record<string, string | number>; }[];
}
