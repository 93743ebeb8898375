import { type Span as RecordedSpan, SpanStatusCode } from "@opentelemetry/api";
import type { SpanAttributes } from "./spanAttributes.ts";
import type { TraceContext } from "./traceContext.ts";

/** A timed operation of a request. If the trace is not sampled, all methods do nothing. */
export class Span {
    /** Context to propagate, so that spans of other processes join the same trace. */
    readonly context: TraceContext;
    private readonly recorded: RecordedSpan | undefined;

    private constructor(context: TraceContext, recorded: RecordedSpan | undefined) {
        this.context = context;
        this.recorded = recorded;
    }

    /**
     * Creates a span.
     * @param context - Context that the span propagates.
     * @param recorded - Span of the OpenTelemetry library, or undefined if the trace is not sampled.
     * @internal
     */
    static create(context: TraceContext, recorded: RecordedSpan | undefined): Span {
        return new Span(context, recorded);
    }

    /** Adds or replaces attributes. */
    setAttributes(attributes: SpanAttributes): void {
        this.recorded?.setAttributes(attributes);
    }

    /**
     * Marks the span as failed.
     * @param message - Description of the failure.
     */
    setFailed(message: string): void {
        this.recorded?.setStatus({ code: SpanStatusCode.ERROR, message });
    }

    end(): void {
        this.recorded?.end();
    }
}
