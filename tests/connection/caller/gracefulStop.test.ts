import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { v7 as createUuid } from "uuid";
import type { Admission } from "../../../src/request/admission/admission.ts";
import { Ok } from "../../../src/result.ts";
import { waitUntil } from "../../support/waitUntil.ts";
import { createCallerServer } from "./callerServerFixture.ts";
import { RawCaller } from "./rawCaller.ts";

const apiKey = "key";
/** Larger than the socket buffers of both sides. */
const answerBytes = 16 * 1024 * 1024;
/** What the system buffers for a caller that doesn't read, although that has not received it. */
const bufferedBody = Buffer.alloc(1024 * 1024, "x");
const answer = { status: 200, contentType: "text/plain", body: Buffer.alloc(answerBytes, "x") };

function createHead(): string {
    const headers = [
        "host: x",
        `authorization: Bearer ${apiKey}`,
        `idempotency-key: ${createUuid()}`,
        "content-length: 0",
    ];
    return `POST /v1/services/receipts/a HTTP/1.1\r\n${headers.join("\r\n")}\r\n\r\n`;
}

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
    caller.write(createHead());
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

    // The first answer announced the close, so that the second one, which had run, was never sent.
    it("answers each request that runs, also those sent before the answer to an earlier one", async () => {
        const admission = { waitingCount: 0, requestAdmission: () => Ok({ release: () => undefined }) };
        const pending: (() => void)[] = [];
        const claim = () =>
            new Promise<{ kind: "answered"; answer: typeof answer; }>(resolve => {
                const body = Buffer.from(`answer ${pending.length}`);
                pending.push(() => resolve({ kind: "answered", answer: { ...answer, body } }));
            });
        const environment = {
            admission: admission as unknown as Admission,
            getGateCapacity: () => 1,
            claims: { claim, settle: () => undefined },
        };
        let refusal: { code: string; message: string; retryAfterMilliseconds: number; } | undefined = undefined;
        const { server, address } = await createCallerServer({ apiKey, environment, getRefusal: () => refusal });
        const caller = await RawCaller.connect(address);
        for (let count = 1; count <= 2; count += 1) {
            caller.write(createHead());
            await waitUntil("the request runs", () => pending.length === count);
        }
        refusal = { code: "draining", message: "The node is draining.", retryAfterMilliseconds: 100 };
        for (const finish of pending) {
            finish();
        }
        const received = await caller.readToEnd();
        await server.close();
        assert.match(received, /answer 0HTTP\/1.1 200 [^]*connection: close\r\n[^]*answer 1$/);
        assert.equal(received.match(/connection: close/g)?.length, 1);
    });

    // The connection was closed with its last answer. A request that came then reset it, and what of the answers was still on its way was lost.
    it("sends all answers before a close that it has announced, although a request crosses it", async () => {
        let claims = 0;
        const claim = () => {
            claims += 1;
            return Promise.resolve({ kind: "answered", answer: { ...answer, body: bufferedBody } } as const);
        };
        const admission = { waitingCount: 0, requestAdmission: () => Ok({ release: () => undefined }) };
        const environment = {
            admission: admission as unknown as Admission,
            getGateCapacity: () => 1,
            claims: { claim, settle: () => undefined },
        };
        let refusal: { code: string; message: string; retryAfterMilliseconds: number; } | undefined = undefined;
        const { server, address } = await createCallerServer({ apiKey, environment, getRefusal: () => refusal });
        const caller = await RawCaller.connect(address);
        caller.socket.pause();
        caller.write(createHead());
        await waitUntil("the request runs", () => claims === 1);
        refusal = { code: "draining", message: "The node is draining.", retryAfterMilliseconds: 100 };
        for (let count = 0; count < 2; count += 1) {
            await sleep(100);
            caller.write(createHead());
        }
        const stopping = server.waitUntilIdle().then(() => server.close());
        await sleep(100);
        caller.socket.resume();
        const received = await caller.readToEnd();
        await stopping;
        assert.ok(received.length > bufferedBody.length);
        assert.match(received, /xHTTP\/1.1 503 [^]*connection: close\r\n[^]*draining[^]*\}$/);
        assert.equal(received.match(/HTTP\/1.1 /g)?.length, 2);
    });
});
