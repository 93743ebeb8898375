import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { fingerprintRequest } from "../../../src/request/relay/fingerprintRequest.ts";
import { RequestKind } from "../../../src/version/routing/requestKind.ts";
import { RelayBench } from "./relayBench.ts";

describe("fingerprintRequest", () => {
    const { request } = RelayBench.create([]).createTask(RequestKind.Stream);
    const original = fingerprintRequest(request, "customer");

    it("is the same when the caller retries the request", () => {
        const again = { ...request, id: "another", arrivedAt: 7, lastEventId: 3, body: Buffer.from(request.body) };
        assert.equal(fingerprintRequest(again, "customer"), original);
    });

    it("differs if the customer, the method, the host, the path or the body differs", () => {
        const variants = [
            fingerprintRequest(request, "other"),
            fingerprintRequest(request, undefined),
            fingerprintRequest({ ...request, method: "GET" }, "customer"),
            fingerprintRequest({ ...request, host: "other" }, "customer"),
            fingerprintRequest({ ...request, target: "/other" }, "customer"),
            fingerprintRequest({ ...request, body: Buffer.from("other") }, "customer"),
        ];
        assert.equal(new Set([original, ...variants]).size, variants.length + 1);
    });
});
