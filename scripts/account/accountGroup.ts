import type { AccountWindow } from "./accountWindow.ts";

/** Counts of the requests of one group, such as a rank. */
export interface AccountGroup extends Omit<AccountWindow, "from"> {
    /** Start of the window in seconds since the first request; undefined for all windows together. */
    from: number | undefined;
    /** Name of the group. */
    group: string;
    /** Number of requests that the nodes refused, so that no endpoint has run them. */
    refused: number;
    /** Retry delays of refusals for lack of capacity, in milliseconds; undefined if there were none. */
    retryMilliseconds: { median: number; maximum: number; } | undefined;
    /** Time from the arrival to the first byte sent to an endpoint, in milliseconds; undefined if none was sent. */
    sentMilliseconds: { median: number; percentile99: number; } | undefined;
}
