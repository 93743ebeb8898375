import type { LogEvent } from "./logEvent.ts";

/**
 * The catalogue of log events. Numbers: 1000 process, 1100 platform, 1200 configuration, 1300 claims and leases,
 * 1400 membership and peers, 1500 chains, 1600 admission, 1700 requests, 1800 endpoint connections.
 */
export const events = {
    nodeStarted: { number: 1001, level: "info", message: "The node has started." },
    nodeDraining: { number: 1002, level: "info", message: "The node takes no new requests and finishes the others." },
    nodeStopped: { number: 1003, level: "info", message: "The node has stopped." },
    nodeForcedStop: { number: 1004, level: "warn", message: "The node gives up the requests that are still running." },
    invariantBroken: {
        number: 1701,
        level: "error",
        message: "A check of an invariant failed; the request has ended.",
    },
} as const satisfies Record<string, LogEvent>;
