/** Causes to which {@link ProcessorAccount} attributes the time of the event loop's thread. */
export const ProcessorCause = {
    /** From the start of the process until the node listens. */
    Start: "start",
    PeerBuild: "peerBuild",
    PeerEncode: "peerEncode",
    /** Reading and decoding peers' messages, and writing the responses to the sockets. */
    PeerDecode: "peerDecode",
    PeerApply: "peerApply",
    /** Parsing the store's responses and applying its changes. */
    Store: "store",
    EndpointPoll: "endpointPoll",
    /** Setting up a caller's request until its body is read, of any kind. */
    RequestReceipt: "requestReceipt",
    /** Admission and sending of a streamed request, and the head of its answer. */
    StreamHead: "streamHead",
    StreamEvent: "streamEvent",
    StreamEnd: "streamEnd",
    /** Refusal of a request at its arrival, or of one that waited. */
    Refusal: "refusal",
    /** Decisions on the requests that wait for capacity. */
    QueueReview: "queueReview",
    Document: "document",
    /** Timer callbacks, without the work that other causes account for. */
    Timer: "timer",
    LogLine: "logLine",
    Metrics: "metrics",
    /** Overlaps the other causes: V8 reports a collection after the work in which it ran has ended. */
    GarbageCollection: "garbageCollection",
} as const;
export type ProcessorCause = (typeof ProcessorCause)[keyof typeof ProcessorCause];
