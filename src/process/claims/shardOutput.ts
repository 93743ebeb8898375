import type { LogEvent } from "../logging/logEvent.ts";
import type { ShardCall } from "./shardCall.ts";
import type { TicketVerdict } from "./ticketVerdict.ts";

/** Actions that a claim shard requests after an event. */
export interface ShardOutput {
    verdicts: TicketVerdict[];
    /** Store call to make. Its result must be passed back; no other call is requested until then. */
    call?: ShardCall;
    /** Monotonic time in milliseconds to wake the shard at. Replaces the previous one. */
    wakeAt?: number;
    logs: { event: LogEvent; fields: Record<string, string | number>; }[];
}
