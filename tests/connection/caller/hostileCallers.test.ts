import assert from "node:assert/strict";
import { after, afterEach, before, describe, it } from "node:test";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { waitUntil } from "../../support/waitUntil.ts";
import { NodeFixture } from "./nodeFixture.ts";
import { RawCaller } from "./rawCaller.ts";

const chatPath = "/v1/chat/completions";
const seed = 20261202;

/** Creates the head of a raw request. */
function createHead(headers: readonly string[], path = chatPath): string {
    const all = ["host: node", `authorization: Bearer ${NodeFixture.apiKey}`, ...headers];
    return `POST ${path} HTTP/1.1\r\n${all.join("\r\n")}\r\n\r\n`;
}

function parseRawError(received: string): { status: number; code: string; } {
    const [head, body] = received.split("\r\n\r\n");
    const { error } = JSON.parse(body ?? "") as { error: { code: string; message: string; }; };
    assert.ok(error.message.length > 0);
    return { status: Number(head!.split(" ")[1]), code: error.code };
}

describe("faulty or malicious callers", () => {
    let fixture: NodeFixture;

    before(async () => {
        const limits = { headerTimeoutMilliseconds: 400, bodyTimeoutMilliseconds: 400, maximumConnections: 300 };
        fixture = await NodeFixture.create({ limits });
    });

    after(() => fixture.close());

    afterEach(async () => {
        await waitUntil("no request is left", () => fixture.node.getStatus().runningRequests === 0);
        await fixture.assertServes();
    });

    /** Sends bytes over a new connection and asserts the error with which the node closes it. */
    async function assertClosedWith(bytes: string | Buffer, status: number, code: string): Promise<void> {
        const runs = fixture.countRuns();
        const caller = await RawCaller.connect(fixture.address);
        caller.write(bytes);
        assert.deepEqual(parseRawError(await caller.readToEnd()), { status, code });
        assert.equal(fixture.countRuns(), runs);
    }

    it("get an error for random bytes", async () => {
        const random = xoroshiro128plus(seed);
        for (let round = 0; round < 20; round += 1) {
            const bytes = Buffer.from(Array.from({ length: 1 + round * 50 }, () => random.next() & 0xff));
            const caller = await RawCaller.connect(fixture.address);
            caller.write(bytes);
            const { status } = parseRawError(await caller.readToEnd());
            assert.ok(status === 400 || status === 408, String(status));
        }
    });

    it("get an error for a request that is not HTTP", async () => {
        await assertClosedWith("GET / SMTP/9\r\n\r\n", 400, "invalid_http");
        await assertClosedWith(createHead(["content-length: 5", "content-length: 6"]), 400, "invalid_http");
        await assertClosedWith(createHead(["content-length: 5", "transfer-encoding: chunked"]), 400, "invalid_http");
        await assertClosedWith(`${createHead(["transfer-encoding: chunked"])}zz\r\n`, 400, "invalid_http");
    });

    it("are disconnected when they stop sending", async () => {
        await assertClosedWith("", 408, "request_timeout");
        await assertClosedWith("POST /v1/chat", 408, "request_timeout");
        await assertClosedWith(`POST ${chatPath} HTTP/1.1\r\nhost: node\r\n`, 408, "request_timeout");
        await assertClosedWith(`${createHead(["content-length: 100"])}{"model"`, 408, "request_timeout");
    });

    it("get one answer if they announce a body and stop sending after the refusal", async () => {
        for (const path of [chatPath, "/nothing"]) {
            const caller = await RawCaller.connect(fixture.address);
            caller.write(createHead(["content-length: 10000000000"], path));
            assert.equal((await caller.readToEnd()).match(/HTTP\/1\.1 /g)?.length, 1);
        }
    });

    it("are disconnected when they send too slowly", async () => {
        const caller = await RawCaller.connect(fixture.address);
        caller.write(createHead(["content-length: 100000"]));
        const timer = setInterval(() => caller.write(" "), 20);
        const received = await caller.readToEnd();
        clearInterval(timer);
        assert.deepEqual(parseRawError(received), { status: 408, code: "request_timeout" });
    });

    it("can't send more headers than the limit", async () => {
        await assertClosedWith(createHead([`x-long: ${"a".repeat(40_000)}`]), 431, "headers_too_large");
        const many = Array.from({ length: 5_000 }, (_, index) => `x-${index}: v`);
        await assertClosedWith(createHead(many), 431, "headers_too_large");
        await assertClosedWith(`GET /${"a".repeat(40_000)} HTTP/1.1\r\n\r\n`, 431, "headers_too_large");
    });

    it("lose no header if they send very many", async () => {
        const runs = fixture.countRuns();
        const many = Array.from({ length: 2_500 }, () => "a: b");
        const caller = await RawCaller.connect(fixture.address);
        const body = NodeFixture.createChatBody();
        const headers = ["x-foxlead-idempotent: false", `content-length: ${body.length}`, "connection: close"];
        caller.write(createHead([...many, ...headers]) + body);
        const received = await caller.readToEnd();
        assert.deepEqual(parseRawError(received), { status: 400, code: "idempotency_key_missing" });
        assert.equal(fixture.countRuns(), runs);
    });

    it("get the answer to a complete request instead of an error for the garbage after it", async () => {
        const key = NodeFixture.createKey();
        const body = NodeFixture.createChatBody({ model: "letters", max_tokens: 8 });
        const caller = await RawCaller.connect(fixture.address);
        caller.write(createHead([`idempotency-key: ${key}`, `content-length: ${body.length}`]) + body);
        caller.write("\u0000garbage\r\n\r\n");
        const received = await caller.readToEnd();
        assert.match(received, /^HTTP\/1\.1 200 /);
        assert.match(received, /chat\.completion/);
        assert.equal(received.match(/HTTP\/1\.1 /g)?.length, 1);
    });

    it("leave no running requests when they reset the connection within a body", async () => {
        const runs = fixture.countRuns();
        for (let round = 0; round < 20; round += 1) {
            const caller = await RawCaller.connect(fixture.address);
            caller.write(`${createHead(["content-length: 1000"])}{"model": "assistant"`);
            await new Promise(resolve => setTimeout(resolve, round));
            caller.socket.resetAndDestroy();
        }
        await waitUntil("no request is left", () => fixture.node.getStatus().runningRequests === 0);
        assert.equal(fixture.countRuns(), runs);
    });

    it("don't block others with 200 idle connections, which are closed", async () => {
        const idle = await Promise.all(Array.from({ length: 200 }, () => RawCaller.connect(fixture.address)));
        await fixture.assertServes();
        for (const caller of idle) {
            await caller.readToEnd();
        }
    });
});
