/** Context that a span propagates to other processes, as defined in W3C Trace Context. */
export interface TraceContext {
    /** 32 lower-case hexadecimal digits. */
    traceId: string;
    /** 16 lower-case hexadecimal digits. */
    spanId: string;
    /** Whether the trace is sampled, that is, recorded. */
    sampled: boolean;
}
