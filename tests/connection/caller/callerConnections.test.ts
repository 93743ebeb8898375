import assert from "node:assert/strict";
import type { Server, ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { CallerConnections } from "../../../src/connection/caller/callerConnections.ts";
import { createHttpServer } from "../../../src/connection/caller/createHttpServer.ts";
import { MemoryAccount } from "../../../src/process/memory/memoryAccount.ts";
import { systemClock } from "../../../src/process/systemClock.ts";
import { RecordingEventLog } from "../../support/recordingEventLog.ts";
import { waitUntil } from "../../support/waitUntil.ts";
import { RawCaller } from "./rawCaller.ts";

const maximumBodyBytes = 1_000;

// The first request had been read, so that the error of the second one got no response. Neither did the second request: its body was waited
// for until its caller left, also on a connection of a node that stops.
describe("CallerConnections with an incomplete request behind a running one", () => {
    let server: Server;
    let caller: RawCaller;
    let first: ServerResponse | undefined;

    beforeEach(async () => {
        const log = RecordingEventLog.create();
        const memory = MemoryAccount.create({
            limitBytes: 1_000_000,
            clock: systemClock,
            log,
            collector: { review: () => undefined },
        });
        const connections = CallerConnections.create({ clock: systemClock, log, memory, maximumConnections: 10 });
        const limits = { maximumConnections: 10, headerTimeoutMilliseconds: 200, bodyTimeoutMilliseconds: 200 };
        first = undefined;
        server = createHttpServer({ limits }, (request, response) => {
            connections.add(request, response);
            if (request.url === "/first") {
                first = response;
                return;
            }
            void connections.readBody(request, response, maximumBodyBytes).then(body => {
                response.writeHead(body.ok ? 200 : body.val.status, { connection: "close" });
                response.end(body.ok ? body.val : body.val.code);
            });
        });
        server.on("clientError", (error, socket) => connections.handleClientError(error, socket as Socket));
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        caller = await RawCaller.connect(`127.0.0.1:${(server.address() as AddressInfo).port}`);
    });

    afterEach(() => {
        caller.socket.destroy();
        server.close();
    });

    const createHead = (path: string, framing: string) => `POST ${path} HTTP/1.1\r\nHost: h\r\n${framing}\r\n\r\n`;

    async function exchange(second: string): Promise<string> {
        caller.write(createHead("/first", "Content-Length: 0") + second);
        await waitUntil("the first request is received", () => first !== undefined);
        await new Promise(resolve => setTimeout(resolve, 800));
        first!.end("answer");
        return await caller.readToEnd();
    }

    it("refuses one whose body is invalid, in its turn", { timeout: 5_000 }, async () => {
        const received = await exchange(`${createHead("/second", "Transfer-Encoding: chunked")}garbage\r\n`);
        assert.match(received, /^HTTP\/1.1 200 [^]*answer[^]*HTTP\/1.1 400 [^]*invalid_http/);
    });

    it("refuses one whose body does not come in time, in its turn", { timeout: 5_000 }, async () => {
        const received = await exchange(createHead("/second", "Content-Length: 5"));
        assert.match(received, /^HTTP\/1.1 200 [^]*answer[^]*HTTP\/1.1 408 [^]*request_timeout/);
    });

    it("answers one that is complete when invalid bytes come behind it", { timeout: 5_000 }, async () => {
        const received = await exchange(`${createHead("/second", "Content-Length: 5")}whole\u0000garbage\r\n\r\n`);
        assert.match(received, /^HTTP\/1.1 200 [^]*answer[^]*HTTP\/1.1 200 [^]*whole/);
    });
});
