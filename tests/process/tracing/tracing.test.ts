import { InMemorySpanExporter } from "@opentelemetry/sdk-trace-base";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Tracing } from "../../../src/process/tracing/tracing.ts";

describe("Tracing", () => {
    function createTracing(randomValue: number) {
        const exporter = new InMemorySpanExporter();
        // The shutdown of this exporter would clear the exported spans.
        exporter.shutdown = () => Promise.resolve();
        const tracing = Tracing.create({ sampleRatio: 0.5, vm: "a", exporter, random: () => randomValue });
        return { exporter, tracing };
    }

    it("exports the spans of a sampled trace, each under its parent", async () => {
        const { exporter, tracing } = createTracing(0.4);
        const request = tracing.startSpan("request", { attributes: { service: "receipts" } });
        const pass = tracing.startSpan("pass", { parent: request.context });
        pass.setAttributes({ endpoint: "e1" });
        pass.setFailed("No answer.");
        pass.end();
        request.end();
        await tracing.shutdown();
        const [first, second] = exporter.getFinishedSpans();
        assert.deepEqual(first?.attributes, { endpoint: "e1" });
        assert.equal(first?.status.message, "No answer.");
        assert.equal(first?.parentSpanContext?.spanId, second?.spanContext().spanId);
        assert.equal(first?.spanContext().traceId, request.context.traceId);
        assert.deepEqual(second?.attributes, { service: "receipts" });
    });

    it("exports no spans of an unsampled trace, but propagates its ids", async () => {
        const { exporter, tracing } = createTracing(0.6);
        const request = tracing.startSpan("request");
        const pass = tracing.startSpan("pass", { parent: request.context });
        pass.end();
        request.end();
        await tracing.shutdown();
        assert.deepEqual(exporter.getFinishedSpans(), []);
        assert.deepEqual(pass.context, request.context);
        assert.match(request.context.traceId, /^[0-9a-f]{32}$/);
        assert.equal(request.context.sampled, false);
    });

    it("follows the sampling decision of the caller", () => {
        const { tracing } = createTracing(0.6);
        const parent = { traceId: "1".repeat(32), spanId: "2".repeat(16), sampled: true };
        const { context } = tracing.startSpan("request", { parent });
        assert.equal(context.traceId, parent.traceId);
        assert.notEqual(context.spanId, parent.spanId);
        assert.ok(context.sampled);
    });

    it("propagates a sampled trace unchanged if there is no exporter", () => {
        const parent = { traceId: "1".repeat(32), spanId: "2".repeat(16), sampled: true };
        const tracing = Tracing.create({ sampleRatio: 1, vm: "a" });
        assert.deepEqual(tracing.startSpan("request", { parent }).context, parent);
    });

    it("shuts down within the timeout if the collector does not respond", async () => {
        const exporter = new InMemorySpanExporter();
        exporter.shutdown = () => new Promise(() => undefined);
        const tracing = Tracing.create({ sampleRatio: 1, vm: "a", exporter });
        await tracing.shutdown(1);
    });
});
