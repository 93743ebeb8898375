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

/** Options of a {@link Tracing}. */
interface TracingOptions {
    /** URL of the OTLP collector. If neither this nor an exporter is set, no spans are recorded. */
    otlpAddress?: string;
    /** Fraction of the traces started by this node that are sampled, from 0 to 1. */
    sampleRatio: number;
    /** Name of this VM, which is set as an attribute of the resource. */
    vm: string;
    /** Exporter to use instead of the OTLP exporter. */
    exporter?: SpanExporter;
    /** Random source for sampling. `Math.random` by default. */
    random?: RandomSource;
}

/** Options of a span. */
interface SpanOptions {
    /** Context of the parent span, from this process or a `traceparent` header. Starts a new trace if undefined. */
    parent?: TraceContext;
    attributes?: SpanAttributes;
}

/** Starts spans and exports those of sampled traces. The sampling decision is made once, where the trace starts. */
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

    /** Creates the tracing of a node. */
    static create(options: TracingOptions): Tracing {
        const exporter = options.exporter ?? createOtlpExporter(options.otlpAddress);
        const provider = exporter && new BasicTracerProvider({
            resource: resourceFromAttributes({ "service.name": "foxlead", "host.name": options.vm }),
            spanProcessors: [new BatchSpanProcessor(exporter)],
        });
        return new Tracing(provider, options.sampleRatio, options.random ?? Math.random);
    }

    /**
     * Starts a span. Unsampled spans are nearly free, since they record neither times nor attributes.
     * @param name - Name of the operation, the same for all operations of its kind.
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
     * Exports the spans that have ended and shuts down. Spans that the collector does not accept in time are lost.
     * @param timeoutMilliseconds - Longest time to wait.
     */
    async shutdown(timeoutMilliseconds = defaultShutdownMilliseconds): Promise<void> {
        if (this.provider === undefined) {
            return;
        }
        // A collector that is down must not make a graceful shutdown fail.
        const flushed = this.provider.shutdown().catch(() => undefined);
        let timer: NodeJS.Timeout | undefined;
        const timeout = new Promise<void>(resolve => {
            timer = setTimeout(resolve, timeoutMilliseconds);
        });
        await Promise.race([flushed, timeout]);
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
