import type { Span } from "../process/tracing/span.ts";
import type { ConfigurationVersion } from "../version/configurationVersion.ts";
import type { NotRunPermit } from "./notRunPermit.ts";

/** What belongs to one request from its arrival to its final answer. */
export interface RequestContext {
    /** UUID version 7. */
    id: string;
    /** Name of the customer whose key the caller showed. */
    customer: string;
    /** The configuration in force when the request arrived; it holds for the whole request. */
    version: ConfigurationVersion;
    /** Monotonic time of the arrival, in milliseconds. */
    arrivedAt: number;
    /** Idempotency key of the caller, if any. */
    idempotencyKey: string | undefined;
    /** Whether the caller marked the request as non-idempotent. */
    isMarkedNonIdempotent: boolean;
    /** Monotonic time at which the answer loses its use; undefined where the caller set none. */
    deadline: number | undefined;
    /** Aborts when the caller has gone away or the node is forced to stop. */
    signal: AbortSignal;
    /** Aborts when the node is forced to stop; the caller's leaving does not count. */
    stopSignal: AbortSignal;
    permit: NotRunPermit;
    span: Span;
}
