import assert from "node:assert/strict";
import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as wait } from "node:timers/promises";
import { StoreTransport } from "../../platform/storeTransport.ts";
import { closeServer } from "../../src/connection/closeServer.ts";

const timeoutMilliseconds = 60;
const rounds = 20;

// Guards against a promise that is rejected without a handler, which ends a process.
describe("StoreTransport", () => {
    let server: Server;
    let sockets: Set<Socket>;
    let rejections: unknown[];
    const noteRejection = (reason: unknown) => void rejections.push(reason);

    beforeEach(async () => {
        sockets = new Set();
        rejections = [];
        server = createServer(socket => {
            sockets.add(socket);
            socket.on("error", () => undefined);
            socket.resume();
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        process.on("unhandledRejection", noteRejection);
    });

    afterEach(async () => {
        process.off("unhandledRejection", noteRejection);
        await closeServer(server, sockets);
    });

    it("leaves no error unhandled if it is closed while calls to a silent store time out", async () => {
        const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
        for (let round = 0; round < rounds; round += 1) {
            const transport = StoreTransport.create(address, { onCall: () => undefined, onEra: () => undefined });
            const call = { method: "GET", path: "/x", body: undefined, timeoutMilliseconds } as const;
            const calls = Array.from(
                { length: 4 },
                (_item, index) => transport.call("x", { ...call, timeoutMilliseconds: timeoutMilliseconds + index }),
            );
            await wait(timeoutMilliseconds - rounds / 2 + round);
            transport.close();
            const until = performance.now() + 10;
            while (performance.now() < until) {
                // The event loop is late.
            }
            for (const result of await Promise.all(calls)) {
                assert.ok(result.err);
            }
            await wait(20);
        }
        assert.deepEqual(rejections, []);
    });
});
