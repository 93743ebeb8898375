import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, describe, it } from "node:test";
import { request } from "undici";
import { AnswerWriter } from "../../../src/connection/caller/answerWriter.ts";
import { InvariantError } from "../../../src/process/invariantError.ts";
import { RequestError } from "../../../src/request/requestError.ts";
import { RawCaller } from "./rawCaller.ts";

describe("AnswerWriter", () => {
    let server: Server | undefined;

    afterEach(() => {
        server?.closeAllConnections();
        server?.close();
    });

    /** Starts a server that answers with a writer. */
    async function serve(handle: (writer: AnswerWriter, response: ServerResponse) => void): Promise<string> {
        server = createServer((_request, response) => handle(AnswerWriter.create(response), response));
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        return `127.0.0.1:${(server.address() as AddressInfo).port}`;
    }

    async function get(address: string, method: "GET" | "HEAD" = "GET") {
        const response = await request(`http://${address}/`, { method });
        return { status: response.statusCode, headers: response.headers, text: await response.body.text() };
    }

    // Requests behind the head of a stream that announced the close got no answer, although the connection closed only with its end.
    it("announces the close with a whole answer, and not with the head of a stream", async () => {
        const address = await serve((_writer, response) => {
            const writer = AnswerWriter.create(response, () => true);
            if (response.req.method === "GET") {
                writer.startStream({}, text => text);
                writer.endStream(["last"]);
                return;
            }
            writer.sendResponse(200, "text/plain", "");
        });
        assert.notEqual((await get(address)).headers["connection"], "close");
        assert.equal((await get(address, "HEAD")).headers["connection"], "close");
    });

    // The caller read a large answer slowly. Requests that crossed its head, which announced the close, got no answer.
    it("announces the close only with an answer that is sent at once", async () => {
        const address = await serve((_writer, response) => {
            const body = Buffer.alloc(Number(response.req.url!.split("/")[1]));
            AnswerWriter.create(response, () => true).sendResponse(200, "text/plain", body);
        });
        assert.notEqual((await get(`${address}/100000`)).headers["connection"], "close");
        assert.equal((await get(`${address}/1000`)).headers["connection"], "close");
    });

    it("rejects a second final answer and keeps the first one", async () => {
        const errors: unknown[] = [];
        const address = await serve(writer => {
            writer.sendResponse(200, "text/plain", "first");
            const seconds = [
                () => writer.sendResponse(200, "text/plain", "second"),
                () => writer.sendError(RequestError.failed("second")),
                () => writer.endStream(["second"]),
            ];
            for (const second of seconds) {
                try {
                    second();
                }
                catch (error) {
                    errors.push(error);
                }
            }
        });
        assert.equal((await get(address)).text, "first");
        assert.equal(errors.length, 3);
        assert.ok(errors.every(error => error instanceof InvariantError && error.invariant === "oneFinalAnswer"));
    });

    it("can send an error if the headers of the answer are invalid", async () => {
        const address = await serve(writer => {
            assert.throws(() => writer.sendResponse(0, "text/plain", "x"));
            assert.throws(() => writer.sendResponse(200, "text/plain\r\nx: y", "x"));
            writer.sendError(RequestError.failed("The answer was broken."));
        });
        const answer = await get(address);
        assert.equal(answer.status, 502);
        assert.match(answer.text, /The answer was broken/);
    });

    it("sends an error as the last event of a started stream", async () => {
        const address = await serve(writer => {
            writer.startStream({}, text => JSON.stringify({ text }));
            writer.writeText("part");
            writer.sendError(RequestError.failed("The stage was lost."));
        });
        const answer = await get(address);
        const events = answer.text.trim().split("\n\n");
        assert.equal(events.length, 2);
        assert.equal(events[0], 'data: {"text":"part"}');
        assert.match(events[1]!, /^data: \{"error":\{"message":"The stage was lost\."/);
        assert.doesNotMatch(answer.text, /\[DONE\]/);
    });

    it("handles a caller that has disconnected", async () => {
        let settle: (writer: AnswerWriter) => void = () => undefined;
        const disconnected = new Promise<AnswerWriter>(resolve => {
            settle = resolve;
        });
        const address = await serve((writer, response) => {
            writer.startStream({}, text => text);
            writer.writeText("a");
            response.once("close", () => settle(writer));
        });
        const caller = await RawCaller.connect(address);
        caller.write("GET / HTTP/1.1\r\nhost: x\r\n\r\n");
        await caller.waitFor("data: a");
        caller.socket.destroy();
        const writer = await disconnected;
        writer.writeText("b");
        writer.sendError(RequestError.cancelled());
        await writer.waitUntilSent(new AbortController().signal);
        assert.ok(writer.hasFinalAnswer());
    });

    it("combines buffered text for a slow caller into one event", async () => {
        const texts: string[] = [];
        let unsentBytes = 0;
        const address = await serve((writer, response) => {
            writer.startStream({}, text => {
                texts.push(text);
                return text;
            });
            for (let index = 0; index < 10_000; index += 1) {
                writer.writeText("x".repeat(100));
            }
            unsentBytes = response.writableLength;
            writer.endStream(["[DONE]"]);
        });
        const answer = await get(address);
        assert.equal(texts.join("").length, 1_000_000);
        assert.ok(
            unsentBytes < 200_000,
            `${unsentBytes} bytes were buffered in the response while the caller did not read.`,
        );
        assert.equal(answer.text.replaceAll(/data: |\n/g, "").length, 1_000_000 + "[DONE]".length);
    });

    it("omits the length of the body in the response to a HEAD request", async () => {
        const address = await serve(writer => writer.sendResponse(200, "text/plain", ""));
        assert.equal((await get(address, "HEAD")).headers["content-length"], undefined);
        assert.equal((await get(address)).headers["content-length"], "0");
    });
});
