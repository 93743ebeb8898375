import type { Span } from "../process/tracing/span.ts";
import type { ConfigurationVersion } from "../version/configurationVersion.ts";
import type { NotRunPermit } from "./notRunPermit.ts";

/** Data of one request from its arrival to its final answer. */
export interface RequestContext {
    /** UUID version 7. */
    id: string;
    /** Name of the customer that the caller's API key belongs to. */
    customer: string;
    /** Configuration that was in force when the request arrived; used for the whole request. */
    version: ConfigurationVersion;
    /** Monotonic time of the arrival, in milliseconds. */
    arrivedAt: number;
    /** Idempotency key that the caller sent, if any. */
    idempotencyKey: string | undefined;
    /** Whether the caller marked the request as non-idempotent. */
    isMarkedNonIdempotent: boolean;
    /** Monotonic time in milliseconds after which the caller has no use for the answer; undefined if the caller set none. */
    deadline: number | undefined;
    /** Aborted when the caller disconnects or the node is forced to stop. */
    signal: AbortSignal;
    /** Aborted only when the node is forced to stop, not when the caller disconnects. */
    stopSignal: AbortSignal;
    permit: NotRunPermit;
    span: Span;
}
