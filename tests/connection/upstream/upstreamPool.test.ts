import assert from "node:assert/strict";
import { createServer, type IncomingMessage, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as wait } from "node:timers/promises";
import { openTcpTunnel } from "../../../src/connection/peer/tunnel/openTcpTunnel.ts";
import { createTcpSocket } from "../../../src/connection/upstream/path/createTcpSocket.ts";
import { EndpointConnector } from "../../../src/connection/upstream/path/endpointConnector.ts";
import { EndpointPaths } from "../../../src/connection/upstream/path/endpointPaths.ts";
import { TunnelPeers } from "../../../src/connection/upstream/path/tunnelPeers.ts";
import type { UpstreamListener } from "../../../src/connection/upstream/upstreamListener.ts";
import { UpstreamPool } from "../../../src/connection/upstream/upstreamPool.ts";
import type { UpstreamRequest } from "../../../src/connection/upstream/upstreamRequest.ts";
import { systemClock } from "../../../src/process/systemClock.ts";
import { toEndpointAddress } from "../../support/toEndpointAddress.ts";
import { waitUntil } from "../../support/waitUntil.ts";

const request: UpstreamRequest = { method: "POST", target: "/", headers: ["Host", "h"], body: Buffer.from("x") };

/** Times between the end of a response and the next request: the same turn of the event loop, the next one, and the one after it. */
const waits = [
    (next: () => void) => next(),
    setImmediate,
    (next: () => void) => void setImmediate(() => setImmediate(next)),
];

describe("UpstreamPool", () => {
    let server: Server;
    let pool: UpstreamPool;
    let arrivals: number;
    let ends: number;
    let deferredActions: Set<() => void>;

    beforeEach(async () => {
        arrivals = 0;
        ends = 0;
        deferredActions = new Set();
        server = createServer((message, response) => {
            arrivals += 1;
            message.resume();
            response.end("answer");
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        pool = UpstreamPool.create({
            address: toEndpointAddress(`127.0.0.1:${(server.address() as AddressInfo).port}`),
            barrier: {
                defer: action => {
                    deferredActions.add(action);
                    return { cancel: () => void deferredActions.delete(action) };
                },
            },
            connector: EndpointConnector.create({
                clock: systemClock,
                paths: EndpointPaths.create({ onChanged: () => undefined, onRefused: () => undefined }),
                peers: TunnelPeers.create({ listPeers: () => [], random: Math.random }),
                createSocket: createTcpSocket,
                openTunnel: openTcpTunnel,
                random: Math.random,
                onReview: () => undefined,
            }),
            onOpened: () => undefined,
        });
    });

    afterEach(async () => {
        pool.close();
        await new Promise(resolve => server.close(resolve));
    });

    const listener: UpstreamListener = {
        onHead: () => undefined,
        onData: () => undefined,
        onEnd: () => ends++,
        onFailure: () => undefined,
        onError: () => undefined,
    };

    /** Runs all actions that wait at the barrier. */
    function runDeferredActions(): void {
        const actions = [...deferredActions];
        deferredActions.clear();
        for (const action of actions) {
            action();
        }
    }

    it("doesn't send a request that is aborted before the pending input is read", async () => {
        const exchange = pool.sendForCaller(() => request, listener);
        exchange.abort();
        runDeferredActions();
        await wait(50);
        assert.deepEqual([arrivals, exchange.getSentTime(), pool.getSize()], [0, undefined, 0]);
    });

    it("doesn't send a request that is aborted after its connection opens, before pending input is read", async () => {
        const exchange = pool.sendForCaller(() => request, listener);
        runDeferredActions();
        await waitUntil("the connection is open", () => deferredActions.size > 0);
        exchange.abort();
        runDeferredActions();
        await wait(50);
        assert.deepEqual([arrivals, exchange.getSentTime()], [0, undefined]);
    });

    it("doesn't write a request that is disallowed while its connection opens, and reports it as withheld", async () => {
        let isAllowed = true;
        const failures: string[] = [];
        const exchange = pool.sendForCaller(() => request, {
            ...listener,
            maySend: () => isAllowed,
            onFailure: ({ kind }) => failures.push(kind),
        });
        runDeferredActions();
        await waitUntil("the connection is open", () => deferredActions.size > 0);
        isAllowed = false;
        runDeferredActions();
        await waitUntil("the exchange has failed", () => failures.length > 0);
        await wait(50);
        assert.deepEqual([failures, arrivals, exchange.getSentTime()], [["withheld"], 0, undefined]);
    });

    it("opens no connection for a request that is disallowed before the pending input is read", () => {
        const failures: string[] = [];
        pool.sendForCaller(() => request, {
            ...listener,
            maySend: () => false,
            onFailure: ({ kind }) => failures.push(kind),
        });
        runDeferredActions();
        assert.deepEqual([failures, pool.getSize()], [["withheld"], 0]);
    });

    it("creates a request when it is sent", async () => {
        let created = 0;
        const exchange = pool.sendForCaller(() => {
            created += 1;
            return request;
        }, listener);
        assert.equal(created, 0);
        runDeferredActions();
        await waitUntil("the connection is open", () => deferredActions.size > 0);
        runDeferredActions();
        await waitUntil("the request is answered", () => ends === 1);
        assert.deepEqual([created, arrivals], [1, 1]);
        assert.ok(exchange.getSentTime()! > 0);
    });

    // Guards against a request that is sent over a connection which is about to close, and fails.
    for (
        const [name, headers] of Object.entries({ unframed: "", closing: "Content-Length: 6\r\nConnection: close\r\n" })
    ) {
        it(`sends no request over the connection of an earlier ${name} response, whenever it comes`, async () => {
            server.removeAllListeners("request");
            server.on("request", (message: IncomingMessage) => {
                arrivals += 1;
                message.resume();
                message.socket.end(`HTTP/1.1 200 OK\r\n${headers}\r\nanswer`);
            });
            const timer = setInterval(runDeferredActions, 1);
            const failures: string[] = [];
            for (const waitForNext of [...waits, ...waits]) {
                await new Promise<void>(resolve =>
                    pool.send(request, {
                        ...listener,
                        onEnd: () => void waitForNext(resolve),
                        onFailure: ({ message }) => {
                            failures.push(message);
                            resolve();
                        },
                    })
                );
            }
            clearInterval(timer);
            assert.deepEqual([failures, arrivals], [[], 2 * waits.length]);
        });
    }
});
