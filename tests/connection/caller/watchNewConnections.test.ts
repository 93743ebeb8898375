import assert from "node:assert/strict";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { watchNewConnections } from "../../../src/connection/caller/watchNewConnections.ts";
import { systemClock } from "../../../src/process/systemClock.ts";
import { RawCaller } from "./rawCaller.ts";

const callerCount = 80;
/** Time for which the event loop is busy with each request, so that connections wait. */
const requestMilliseconds = 10;

describe("watchNewConnections", () => {
    let server: Server;
    let readCount: number;
    let canPeersTakeConnections: boolean;
    let closedCount: number;

    beforeEach(async () => {
        readCount = 0;
        closedCount = 0;
        server = createServer((request, response) => {
            readCount += 1;
            for (const startedAt = performance.now(); performance.now() - startedAt < requestMilliseconds;) {
                // Keeps the event loop busy.
            }
            request.resume();
            response.end("answer");
        });
        watchNewConnections(server, {
            clock: systemClock,
            canPeersTakeConnections: () => canPeersTakeConnections,
            onQueueEnd: (_queueMilliseconds, closed) => closedCount += closed,
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    });

    afterEach(() => new Promise<void>(resolve => void server.close(() => resolve())));

    /** Sends requests over new connections at once. Returns the number of complete answers. */
    async function countAnswers(count: number): Promise<number> {
        const { port } = server.address() as AddressInfo;
        const received = Array.from({ length: count }, async () => {
            const caller = await RawCaller.connect(`127.0.0.1:${port}`).catch(() => undefined);
            caller?.write("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
            return await caller?.readToEnd() ?? "";
        });
        return (await Promise.all(received)).filter(text => text.endsWith("answer")).length;
    }

    it("closes connections that wait too long unread, answers all that are read, and serves again afterwards", async () => {
        canPeersTakeConnections = true;
        const answers = await countAnswers(callerCount);
        assert.equal(answers, readCount);
        assert.ok(closedCount > 0);
        assert.equal(answers + closedCount, callerCount);
        assert.equal(await countAnswers(2), 2);
    });

    it("serves all connections if no peer can take them", async () => {
        canPeersTakeConnections = false;
        assert.equal(await countAnswers(callerCount), callerCount);
        assert.equal(closedCount, 0);
    });
});
