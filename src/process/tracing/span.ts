import { type Span as RecordedSpan, SpanStatusCode } from "@opentelemetry/api";
import type { SpanAttributes } from "./spanAttributes.ts";
import type { TraceContext } from "./traceContext.ts";

/** One timed part of a request. Where the trace is not sampled, every method does nothing. */
export class Span {
    /** What to pass on, so that spans of other processes join the same trace. */
    readonly context: TraceContext;
    private readonly recorded: RecordedSpan | undefined;

    private constructor(context: TraceContext, recorded: RecordedSpan | undefined) {
        this.context = context;
        this.recorded = recorded;
    }

    /**
     * Creates a span.
     * @param context - What the span passes on.
     * @param recorded - The library's span; undefined where the trace is not sampled.
     * @internal
     */
    static create(context: TraceContext, recorded: RecordedSpan | undefined): Span {
        return new Span(context, recorded);
    }

    /**
     * Sets attributes that were not known at the start.
     * @param attributes - Attributes to add or replace.
     */
    setAttributes(attributes: SpanAttributes): void {
        this.recorded?.setAttributes(attributes);
    }

    /**
     * Marks the span as failed.
     * @param message - What failed.
     */
    setFailed(message: string): void {
        this.recorded?.setStatus({ code: SpanStatusCode.ERROR, message });
    }

    /** Ends the span. */
    end(): void {
        this.recorded?.end();
    }
}
