/** What a span passes on to the next process, as in W3C Trace Context. */
export interface TraceContext {
    /** 32 lower-case hexadecimal digits. */
    traceId: string;
    /** 16 lower-case hexadecimal digits. */
    spanId: string;
    /** Whether the trace is recorded. */
    sampled: boolean;
}
