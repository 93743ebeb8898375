import { ROOT_CONTEXT, trace, TraceFlags, type Tracer } from "@opentelemetry/api";
import { OTLPTraceExporter } from "@opentelemetry/exporter-trace-otlp-http";
import { resourceFromAttributes } from "@opentelemetry/resources";
import { BasicTracerProvider, BatchSpanProcessor, type SpanExporter } from "@opentelemetry/sdk-trace-base";
import { randomBytes } from "node:crypto";
import type { RandomSource } from "../randomSource.ts";
import { Span } from "./span.ts";
import type { SpanAttributes } from "./spanAttributes.ts";
import type { TraceContext } from "./traceContext.ts";

const traceIdBytes = 16;
const spanIdBytes = 8;
const defaultShutdownMilliseconds = 2000;

/** Options of {@link Tracing}. */
interface TracingOptions {
    /** URL of the OTLP collector; no span is recorded where neither this nor an exporter is given. */
    otlpAddress?: string;
    /** Share of the traces that begin here and are recorded, from 0 to 1. */
    sampleRatio: number;
    /** Name of this machine; an attribute of each span's resource. */
    vm: string;
    /** Takes the place of the OTLP exporter. */
    exporter?: SpanExporter;
    /** Decides which traces are recorded. `Math.random` by default. */
    random?: RandomSource;
}

/** Options of a span. */
interface SpanOptions {
    /** Context of the span above, from this process or from a `traceparent` header; a new trace where undefined. */
    parent?: TraceContext;
    attributes?: SpanAttributes;
}

/** Starts spans and exports those of sampled traces. Whether a trace is sampled is decided once, where it begins. */
export class Tracing {
    private readonly provider: BasicTracerProvider | undefined;
    private readonly tracer: Tracer | undefined;
    private readonly sampleRatio: number;
    private readonly random: RandomSource;

    private constructor(provider: BasicTracerProvider | undefined, sampleRatio: number, random: RandomSource) {
        this.provider = provider;
        this.tracer = provider?.getTracer("foxlead");
        this.sampleRatio = sampleRatio;
        this.random = random;
    }

    /**
     * Creates the tracing of a node.
     * @param options - Collector, share of the traces, machine.
     */
    static create(options: TracingOptions): Tracing {
        const exporter = options.exporter ?? createOtlpExporter(options.otlpAddress);
        const provider = exporter && new BasicTracerProvider({
            resource: resourceFromAttributes({ "service.name": "foxlead", "host.name": options.vm }),
            spanProcessors: [new BatchSpanProcessor(exporter)],
        });
        return new Tracing(provider, options.sampleRatio, options.random ?? Math.random);
    }

    /**
     * Starts a span. Unsampled spans cost next to nothing: they record no time and no attributes.
     * @param name - Name of the work, the same for all of its kind.
     * @param options - Parent and attributes.
     */
    startSpan(name: string, options: SpanOptions = {}): Span {
        const { parent, attributes } = options;
        const isSampled = parent?.sampled ?? this.random() < this.sampleRatio;
        if (this.tracer === undefined || !isSampled) {
            return Span.create(parent ?? createUnsampledContext(), undefined);
        }
        const recorded = this.tracer.startSpan(name, { attributes }, createParentContext(parent));
        const { traceId, spanId } = recorded.spanContext();
        return Span.create({ traceId, spanId, sampled: true }, recorded);
    }

    /**
     * Exports the spans that have ended and stops. Spans that the collector doesn't take in time are lost.
     * @param timeoutMilliseconds - Longest time to wait, in milliseconds.
     */
    async shutdown(timeoutMilliseconds = defaultShutdownMilliseconds): Promise<void> {
        if (this.provider === undefined) {
            return;
        }
        // A collector that is down must not turn a graceful shutdown into a failed one.
        const flushed = this.provider.shutdown().catch(() => undefined);
        let timer: NodeJS.Timeout | undefined;
        const bound = new Promise<void>(resolve => {
            timer = setTimeout(resolve, timeoutMilliseconds);
        });
        await Promise.race([flushed, bound]);
        clearTimeout(timer);
    }
}

function createOtlpExporter(address: string | undefined): SpanExporter | undefined {
    return address === undefined ? undefined : new OTLPTraceExporter({ url: address });
}

function createUnsampledContext(): TraceContext {
    return {
        traceId: randomBytes(traceIdBytes).toString("hex"),
        spanId: randomBytes(spanIdBytes).toString("hex"),
        sampled: false,
    };
}

function createParentContext(parent: TraceContext | undefined) {
    if (parent === undefined) {
        return ROOT_CONTEXT;
    }
    const { traceId, spanId } = parent;
    return trace.setSpanContext(ROOT_CONTEXT, { traceId, spanId, traceFlags: TraceFlags.SAMPLED, isRemote: true });
}
