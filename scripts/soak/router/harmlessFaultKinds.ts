/** Faults of single endpoints that end no request which may go on there or elsewhere, as the timeline names them. */
export const harmlessFaultKinds = {
    /** The endpoint stands still for a moment with its connections open. */
    standsStill: "endpointStandsStill",
    /** It refuses new requests as full, and none of them runs. */
    full: "endpointFull",
    /** It drains, leaves, resets its streams and starts again as another one. */
    replaced: "endpointReplaced",
    /** It takes requests, and begins to answer them long after others would have. */
    beginsLate: "endpointBeginsLate",
    /** It breaks off single streams, each once, and goes on with the others. */
    breaksOff: "endpointBreaksOff",
} as const;
