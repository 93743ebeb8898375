import assert from "node:assert/strict";
import { after, before, beforeEach, describe, it } from "node:test";
import type { EndpointStandin } from "../../standins/router/endpointStandin.ts";
import { RouterTestHarness, type StartedNode } from "./routerTestHarness.ts";

describe("A document request on the platform", () => {
    let harness: RouterTestHarness;
    let node: StartedNode;
    let first: EndpointStandin;
    let second: EndpointStandin;

    before(async () => {
        harness = await RouterTestHarness.create();
        first = await harness.addEndpoint("first", "documents");
        second = await harness.addEndpoint("second", "documents");
        node = await harness.addNode();
        await harness.waitForEndpoints(node, 2);
    });

    beforeEach(() => {
        for (const endpoint of [first, second]) {
            endpoint.behaviour = {};
            endpoint.runs.length = 0;
        }
    });

    after(() => harness.close());

    const countRuns = () => first.runs.length + second.runs.length;

    it("reaches an endpoint unchanged, with the customer's name in place of the key", async () => {
        const path = "/unsafe/a%2Fb/../c?x=1&y=%20";
        const headers = {
            tenant: "forged",
            "hop-count": "1.2.3.4:5=0-8",
            "x-other": "kept",
            connection: "x-dropped",
            "x-dropped": "1",
        };
        const answer = await harness.send(node, path, { headers, body: "the body" });
        assert.equal(answer.status, 200);
        assert.match(answer.headers["response-seal"] as string, /^seal-/);
        const [run] = [...first.runs, ...second.runs];
        assert.equal(run?.url, path);
        assert.equal(run?.body, "the body");
        assert.equal(run?.headers["tenant"], "first");
        assert.equal(run?.headers["x-other"], "kept");
        assert.equal(run?.headers["authorization"], undefined);
        assert.equal(run?.headers["hop-count"], undefined);
        assert.equal(run?.headers["x-dropped"], undefined);
        assert.ok(Number(run?.headers["request-deadline-ms"]) <= 3_000);
    });

    it("is rejected without a route or a known key, and runs nowhere", async () => {
        assert.equal((await harness.send(node, "/none/")).status, 404);
        assert.equal((await harness.send(node, "/safe/", { headers: { authorization: "Bearer other" } })).status, 401);
        assert.equal(countRuns(), 0);
    });

    it("is retried at another endpoint if the first one has not run it", async () => {
        first.behaviour = { refusalStatus: 503 };
        for (let count = 0; count < 6; count++) {
            assert.equal((await harness.send(node, "/unsafe/x")).status, 200);
        }
        assert.equal(second.runs.length, 6);
    });

    it("is rejected as not run if all endpoints reject it, with a retry delay", async () => {
        first.behaviour = { refusalStatus: 503 };
        second.behaviour = { refusalStatus: 429 };
        const answer = await harness.send(node, "/unsafe/x");
        assert.equal(answer.status, 503);
        assert.ok(Number(answer.headers["retry-after"]) > 0);
        assert.equal(countRuns(), 0);
    });

    it("runs once if it is not idempotent and its response is lost, and is answered as unknown", async () => {
        for (
            const fault of [{ losesAnswer: true }, { isUnsigned: true }, { answersWrongRequest: true }, {
                resetsUnframed: true,
            }]
        ) {
            first.behaviour = fault;
            second.behaviour = fault;
            first.runs.length = 0;
            second.runs.length = 0;
            const answer = await harness.send(node, "/unsafe/x");
            assert.equal(answer.status, 502, JSON.stringify(fault));
            assert.equal(countRuns(), 1, JSON.stringify(fault));
        }
    });

    it("is retried at another endpoint if it is idempotent and the first response is lost", async () => {
        first.behaviour = { losesAnswer: true };
        for (let count = 0; count < 4; count++) {
            const answer = await harness.send(node, "/safe/x", { method: "GET" });
            assert.equal(answer.status, 200);
            assert.equal(answer.body, "answer of second");
        }
    });

    it("returns an endpoint's error response unchanged if it is not idempotent", async () => {
        first.behaviour = { failureStatus: 500 };
        second.behaviour = { failureStatus: 500 };
        const answer = await harness.send(node, "/unsafe/x");
        assert.equal(answer.status, 500);
        assert.match(answer.headers["response-seal"] as string, /^seal-/);
    });

    it("is answered when the route's timeout has passed", async () => {
        first.behaviour = { delayMilliseconds: 10_000 };
        second.behaviour = { delayMilliseconds: 10_000 };
        const startedAt = performance.now();
        const answer = await harness.send(node, "/unsafe/x");
        assert.equal(answer.status, 504);
        assert.ok(performance.now() - startedAt < 3_500);
    });

    it("is cancelled at its endpoint soon after its caller disconnects", async () => {
        first.behaviour = { delayMilliseconds: 2_000 };
        second.behaviour = { delayMilliseconds: 2_000 };
        const controller = new AbortController();
        const sending = harness.send(node, "/unsafe/x", { signal: controller.signal }).catch(() => undefined);
        await new Promise(resolve => setTimeout(resolve, 200));
        controller.abort();
        await sending;
        await new Promise(resolve => setTimeout(resolve, 400));
        assert.deepEqual([...first.runs, ...second.runs].map(run => run.isAbandoned), [true]);
    });

    it("never receives bytes that an endpoint sent after an earlier response", async () => {
        first.behaviour = { sendsExtra: true };
        second.behaviour = { sendsExtra: true };
        for (let count = 0; count < 8; count++) {
            const answer = await harness.send(node, "/safe/x", { method: "GET" });
            assert.equal(answer.status, 200);
            assert.match(answer.body, /^answer of/);
        }
    });

    it("with conflicting lengths (request smuggling) is rejected as a whole", async () => {
        const answer = await harness.send(node, "/unsafe/x", {
            headers: { "content-length": "4", "transfer-encoding": "chunked" },
            body: "0\r\n\r\nPOST /unsafe/y HTTP/1.1\r\nHost: one.example\r\n\r\n",
        }).catch(() => undefined);
        assert.ok(answer === undefined || answer.status === 400, String(answer?.status));
        assert.equal(countRuns(), 0);
    });
});
