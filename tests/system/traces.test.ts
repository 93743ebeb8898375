import assert from "node:assert/strict";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { after, before, describe, it } from "node:test";
import { request } from "undici";
import { v7 as createUuid } from "uuid";
import { LocalDeployment } from "../../scripts/deployment/localDeployment.ts";
import { testEngines } from "./testEngines.ts";
import { waitFor } from "./waitFor.ts";

/** The parts of an exported span that are read here. */
interface ExportedSpan {
    traceId: string;
    spanId: string;
    parentSpanId?: string;
    name: string;
}

/** The parts of an OTLP export that are read here. */
interface ExportBody {
    resourceSpans: { scopeSpans: { spans: ExportedSpan[]; }[]; }[];
}

const traceId = "4bf92f3577b34da6a3ce929d0e0e4736";
const callerSpanId = "00f067aa0ba902b7";
const tokens = 3;
/** Enough keys that some fall into shards of the other node. */
const keys = 24;

describe("Traces", () => {
    const spans: ExportedSpan[] = [];
    let collector: Server;
    let deployment: LocalDeployment;

    before(async () => {
        collector = createServer((incoming, response) => {
            const chunks: Buffer[] = [];
            incoming.on("data", (chunk: Buffer) => chunks.push(chunk));
            incoming.on("end", () => {
                addExportedSpans(JSON.parse(Buffer.concat(chunks).toString("utf8")) as ExportBody);
                response.writeHead(200, { "content-type": "application/json" }).end("{}");
            });
        });
        await new Promise<void>(resolve => collector.listen(0, "127.0.0.1", resolve));
        const { port } = collector.address() as AddressInfo;
        const otlpAddress = `http://127.0.0.1:${port}/v1/traces`;
        const engines = testEngines.slice(1, 3);
        deployment = await LocalDeployment.create({ nodes: 2, engines, documents: 1, isBuilt: false, otlpAddress });
        await deployment.apply();
    });

    after(async () => {
        await deployment.kill();
        collector.closeAllConnections();
        collector.close();
    });

    function addExportedSpans(body: ExportBody): void {
        for (const resource of body.resourceSpans) {
            for (const scope of resource.scopeSpans) {
                spans.push(...scope.spans.filter(span => span.traceId === traceId));
            }
        }
    }

    function getNames(): string[] {
        return spans.map(span => span.name);
    }

    it("contain a span for each hop of a request, below the caller's span", async () => {
        const response = await request(`http://${deployment.nodes[0]!.callerAddress}/v1/chat/completions`, {
            method: "POST",
            headers: {
                authorization: `Bearer ${deployment.apiKey}`,
                traceparent: `00-${traceId}-${callerSpanId}-01`,
            },
            body: JSON.stringify({
                model: "assistant",
                max_tokens: tokens,
                messages: [{ role: "user", content: "Explain the payslip" }],
            }),
        });
        assert.equal(response.statusCode, 200);
        await response.body.dump();
        await waitFor("the request's span is exported", async () => getNames().includes("request"));
        const root = spans.find(span => span.name === "request")!;
        assert.equal(root.parentSpanId, callerSpanId);
        assert.ok(getNames().includes("admission"));
        const passes = spans.filter(span => span.name === "pass");
        assert.ok(passes.length >= tokens);
        assert.ok(passes.every(span => span.parentSpanId === root.spanId));
    });

    it("contain the claim of a key and the calls to the peer that owns its shard", async () => {
        spans.length = 0;
        for (let key = 0; key < keys; key += 1) {
            const response = await request(`http://${deployment.nodes[0]!.callerAddress}/v1/services/receipts/may`, {
                method: "POST",
                headers: {
                    authorization: `Bearer ${deployment.apiKey}`,
                    "idempotency-key": createUuid(),
                    traceparent: `00-${traceId}-${callerSpanId}-01`,
                },
                body: "receipt",
            });
            assert.equal(response.statusCode, 200);
            await response.body.dump();
        }
        const count = (name: string) => getNames().filter(found => found === name).length;
        await waitFor("all spans of the requests are exported", async () => count("request") === keys);
        assert.equal(count("claim"), keys);
        assert.equal(count("document call"), keys);
        assert.ok(count("peer call") > 0);
    });
});
