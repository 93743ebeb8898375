import type { BodyBounds } from "./bodyBounds.ts";

const kibibyte = 1024;

/** Bounds of bodies, by what they are used for. */
export const bodyBoundsOfUse = {
    /** Passed on as it arrives, until the deadline of its request. */
    streamed: { maximumBytes: Infinity, maximumMilliseconds: Infinity },
    /** Kept until it is complete and then passed on, before the deadline of its request. A small node must have memory for several. */
    kept: { maximumBytes: 8 * kibibyte * kibibyte, maximumMilliseconds: Infinity },
    /** A failure or a refusal. The time is longer than a sound endpoint stands still. */
    failure: { maximumBytes: 256 * kibibyte, maximumMilliseconds: 2_500 },
    /** A report or the answer to an order, whose calls have timeouts of their own. */
    call: { maximumBytes: kibibyte * kibibyte, maximumMilliseconds: Infinity },
} as const satisfies Record<string, BodyBounds>;
