import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { request } from "undici";
import { v7 as createUuid } from "uuid";
import { InvariantError } from "../../../src/process/invariantError.ts";
import { events } from "../../../src/process/logging/events.ts";
import type { Admission } from "../../../src/request/admission/admission.ts";
import type { RequestEnvironment } from "../../../src/request/requestEnvironment.ts";
import { Ok } from "../../../src/result.ts";
import { createCallerServer } from "./callerServerFixture.ts";
import { NodeFixture } from "./nodeFixture.ts";

const apiKey = NodeFixture.apiKey;

/** Creates an environment whose admission runs a function of the test instead of the handler. */
function createEnvironment(requestAdmission: () => unknown): Partial<RequestEnvironment> {
    const admission = { waitingCount: 0, requestAdmission } as unknown as Admission;
    return { admission, getGateCapacity: () => 1, random: () => 0.5 };
}

async function send(
    address: string,
    path = "/v1/services/summaries/a",
    additionalHeaders: Record<string, string> = {},
) {
    const headers = { authorization: `Bearer ${apiKey}`, "content-type": "application/json", ...additionalHeaders };
    const body = NodeFixture.createChatBody();
    const response = await request(`http://${address}${path}`, { method: "POST", headers, body });
    return { status: response.statusCode, headers: response.headers, text: await response.body.text() };
}

describe("CallerServer", () => {
    it("answers and logs a request whose handler throws", async () => {
        const thrown: [unknown, number, RegExp][] = [
            [new Error("secret"), events.requestCrashed.number, /FL1703/],
            ["text", events.requestCrashed.number, /FL1703/],
            [InvariantError.create("layersOnceInOrder", "x"), events.invariantViolated.number, /layersOnceInOrder/],
        ];
        for (const [error, number, message] of thrown) {
            const environment = createEnvironment(() => {
                throw error;
            });
            const { server, address, log } = await createCallerServer({ apiKey, environment });
            const answer = await send(address);
            NodeFixture.assertError(answer, { status: 502, code: "failed", outcome: "failed", message });
            assert.doesNotMatch(answer.text, /secret/);
            assert.deepEqual(log.numbers, [number]);
            await server.waitUntilIdle();
            await server.close();
        }
    });

    it("sends only one answer if the handler throws after the final answer", async () => {
        const release = () => {
            throw new Error("late");
        };
        const environment = createEnvironment(() => Ok({ release }));
        const answer = { status: 200, contentType: "text/plain", body: Buffer.from("kept") };
        const claim = () => Promise.resolve({ kind: "answered", answer } as const);
        environment.claims = { claim, settle: () => undefined };
        const { server, address, log } = await createCallerServer({ apiKey, environment });
        const { status, text } = await send(address, "/v1/services/receipts/a", { "idempotency-key": createUuid() });
        assert.deepEqual({ status, text }, { status: 200, text: "kept" });
        await server.waitUntilIdle();
        assert.deepEqual(log.numbers, [events.requestCrashed.number]);
        await server.close();
    });

    it("closes the connection after an answer that is sent while the node accepts no requests", async () => {
        let isDraining = false;
        const environment = createEnvironment(() => {
            throw new Error("unused");
        });
        const refusal = { code: "draining", message: "Send it again.", retryAfterMilliseconds: 500 };
        const getRefusal = () => isDraining ? refusal : undefined;
        const { server, address } = await createCallerServer({ apiKey, environment, getRefusal });
        assert.notEqual((await send(address)).headers["connection"], "close");
        isDraining = true;
        const answer = await send(address);
        const expected = { status: 503, code: "draining", outcome: "notRun", message: /Send it again/ };
        NodeFixture.assertError(answer, expected);
        assert.equal(answer.headers["connection"], "close");
        assert.equal(answer.headers["retry-after"], "1");
        assert.equal(answer.headers["retry-after-ms"], "500");
        await server.close();
    });

    it("starts if the header timeout is longer than the timeout of the complete request", async () => {
        const limits = { headerTimeoutMilliseconds: 2_000, bodyTimeoutMilliseconds: 1_000 };
        const environment = createEnvironment(() => undefined);
        const { server, address } = await createCallerServer({ apiKey, environment, limits });
        assert.equal((await send(address, "/nothing")).status, 404);
        await server.close();
    });
});
