import type { TraceContext } from "./traceContext.ts";

/**
 * Formats a `traceparent` header of version 00.
 * @param context - Context to propagate.
 */
export function formatTraceparent(context: TraceContext): string {
    return `00-${context.traceId}-${context.spanId}-${context.sampled ? "01" : "00"}`;
}
