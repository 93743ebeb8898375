import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { setTimeout as wait } from "node:timers/promises";
import { NodeFixture } from "./nodeFixture.ts";
import { RawCaller } from "./rawCaller.ts";

const chatPath = "/v1/chat/completions";
const tooLarge = { status: 413, code: "body_too_large", outcome: "invalid", message: /100000 bytes/ };

function createHead(headers: readonly string[], key = NodeFixture.apiKey): string {
    const all = ["host: node", `authorization: Bearer ${key}`, ...headers];
    return `POST ${chatPath} HTTP/1.1\r\n${all.join("\r\n")}\r\n\r\n`;
}

function createChunk(bytes: number): string {
    return `${bytes.toString(16)}\r\n${"a".repeat(bytes)}\r\n`;
}

/** Asserts that the received text is one complete error response that closes its connection. */
function assertOneError(received: string, status: number): void {
    const [head, body] = received.split("\r\n\r\n");
    assert.match(head!, new RegExp(`^HTTP/1.1 ${status} `));
    assert.match(head!, /connection: close/i);
    assert.equal(received.match(/HTTP\/1\.1 /g)?.length, 1);
    assert.ok("error" in (JSON.parse(body!) as object));
}

describe("bodies that are too large", () => {
    let fixture: NodeFixture;

    before(async () => {
        fixture = await NodeFixture.create();
    });

    after(async () => {
        assert.equal(fixture.countRuns(), 0);
        await fixture.assertServes();
        await fixture.close();
    });

    it("are refused because of their announced length", async () => {
        NodeFixture.assertError(await fixture.post(chatPath, "a".repeat(100_001)), tooLarge);
    });

    it("are refused before they are sent", async () => {
        const caller = await RawCaller.connect(fixture.address);
        caller.write(createHead(["content-length: 10000000000"]));
        assertOneError(await caller.readToEnd(), 413);
    });

    it("are refused without an announced length", async () => {
        const caller = await RawCaller.connect(fixture.address);
        caller.write(createHead(["transfer-encoding: chunked"]) + createChunk(60_000) + createChunk(60_000));
        assertOneError(await caller.readToEnd(), 413);
    });

    it("are refused without a 100 Continue response", async () => {
        const caller = await RawCaller.connect(fixture.address);
        caller.write(createHead(["content-length: 10000000000", "expect: 100-continue"]));
        assertOneError(await caller.readToEnd(), 413);
    });

    // Guards against a connection reset while the caller still sends, which would cost it the response.
    it("are read to their end after the refusal, if they arrive within a few seconds", async () => {
        const caller = await RawCaller.connect(fixture.address);
        caller.socket.pause();
        caller.write(createHead(["content-length: 200000"]));
        for (let part = 0; part < 10; part++) {
            await wait(200);
            caller.write("a".repeat(20_000));
        }
        caller.socket.resume();
        assertOneError(await caller.readToEnd(), 413);
    });

    it("are read only up to a limit after the refusal", async () => {
        for (const key of [NodeFixture.apiKey, "wrong"]) {
            const caller = await RawCaller.connect(fixture.address);
            caller.write(createHead(["transfer-encoding: chunked"], key));
            const chunk = createChunk(100_000);
            let sentBytes = 0;
            const send = () => {
                while (!caller.socket.destroyed && sentBytes < 500_000_000) {
                    sentBytes += chunk.length;
                    if (!caller.socket.write(chunk)) {
                        return;
                    }
                }
            };
            caller.socket.on("drain", send);
            send();
            assertOneError(await caller.readToEnd(), key === "wrong" ? 401 : 413);
            assert.ok(sentBytes < 50_000_000, `The node has read ${sentBytes} bytes.`);
        }
    });

    it("are distinguished from invalid bodies, which keep the connection open", async () => {
        const caller = await RawCaller.connect(fixture.address);
        const request = `${createHead(["content-length: 1", "expect: 100-continue"])}`;
        caller.write(request);
        await caller.waitFor("100 Continue");
        caller.write("{");
        await caller.waitFor("invalid_json");
        caller.write(createHead(["content-length: 1", "connection: close"]) + "{");
        const received = await caller.readToEnd();
        assert.equal(received.match(/HTTP\/1\.1 400 /g)?.length, 2);
    });
});
