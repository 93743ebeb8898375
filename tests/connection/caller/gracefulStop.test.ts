import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { v7 as createUuid } from "uuid";
import type { Admission } from "../../../src/request/admission/admission.ts";
import { Ok } from "../../../src/result.ts";
import { createCallerServer } from "./callerServerFixture.ts";
import { RawCaller } from "./rawCaller.ts";

const apiKey = "key";
/** Larger than the socket buffers of both sides. */
const answerBytes = 16 * 1024 * 1024;
const answer = { status: 200, contentType: "text/plain", body: Buffer.alloc(answerBytes, "x") };

/** Starts a server that replays a large stored answer, and a caller that doesn't read it. */
async function startSlowReading() {
    const admission = { waitingCount: 0, requestAdmission: () => Ok({ release: () => undefined }) };
    const claim = () => Promise.resolve({ kind: "answered", answer } as const);
    const environment = {
        admission: admission as unknown as Admission,
        getGateCapacity: () => 1,
        claims: { claim, settle: () => undefined },
    };
    const { server, address } = await createCallerServer({ apiKey, environment });
    const caller = await RawCaller.connect(address);
    caller.socket.pause();
    const headers = [
        "host: x",
        `authorization: Bearer ${apiKey}`,
        `idempotency-key: ${createUuid()}`,
        "content-length: 0",
    ];
    caller.write(`POST /v1/services/receipts/a HTTP/1.1\r\n${headers.join("\r\n")}\r\n\r\n`);
    await sleep(100);
    return { server, caller };
}

describe("a graceful stop", () => {
    it("waits until a slow caller has received its answer", async () => {
        const { server, caller } = await startSlowReading();
        let isIdle = false;
        const stopping = server.waitUntilIdle().then(() => {
            isIdle = true;
            return server.close();
        });
        await sleep(200);
        assert.equal(isIdle, false);
        caller.socket.resume();
        await stopping;
        const received = await caller.readToEnd();
        assert.equal(received.split("\r\n\r\n")[1]!.length, answerBytes);
    });

    it("ends despite a caller that doesn't read, once it is forced", async () => {
        const { server, caller } = await startSlowReading();
        server.abortRequests();
        await server.waitUntilIdle();
        await server.close();
        caller.socket.resume();
        const received = await caller.readToEnd();
        assert.ok(received.length < answerBytes);
    });
});
