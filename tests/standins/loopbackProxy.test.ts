import assert from "node:assert/strict";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { after, before, beforeEach, describe, it } from "node:test";
import { setTimeout as wait } from "node:timers/promises";
import { request } from "undici";
import { LoopbackProxy } from "../../standins/network/loopbackProxy.ts";
import { ProxyMode } from "../../standins/network/proxyMode.ts";

describe("LoopbackProxy", () => {
    let server: Server;
    let proxy: LoopbackProxy;
    let arrived: number;

    before(async () => {
        server = createServer((_, response) => {
            arrived += 1;
            response.end("answer");
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        proxy = await LoopbackProxy.create(() => `127.0.0.1:${(server.address() as AddressInfo).port}`);
    });

    beforeEach(() => {
        arrived = 0;
        proxy.setMode(ProxyMode.Pass);
    });

    after(async () => {
        await proxy.close();
        server.closeAllConnections();
        server.close();
    });

    async function call(): Promise<string> {
        const signal = AbortSignal.timeout(700);
        const answer = await request(`http://${proxy.getAddress()}/`, { signal, reset: true });
        return await answer.body.text();
    }

    it("forwards bytes with and without a delay", async () => {
        assert.equal(await call(), "answer");
        proxy.setMode(ProxyMode.Delay);
        const startedAt = Date.now();
        assert.equal(await call(), "answer");
        assert.ok(Date.now() - startedAt >= 290);
    });

    it("refuses connections like a port without a process until it listens again", async () => {
        const address = proxy.getAddress();
        proxy.refuseConnections();
        await assert.rejects(call(), { code: "ECONNREFUSED" });
        await proxy.listen();
        assert.equal(proxy.getAddress(), address);
        assert.equal(await call(), "answer");
    });

    // Guards against reordering: when the delay mode ended in the middle of a stream, later events were forwarded before
    // earlier events that were still delayed. TCP never reorders the bytes of a connection.
    it("keeps the order of bytes when the delay mode ends in the middle of a stream", async context => {
        const parts = ["1", "2", "3", "4"];
        const streaming = createServer(async (_, response) => {
            for (const part of parts) {
                response.write(part);
                await wait(40);
            }
            response.end();
        });
        await new Promise<void>(resolve => streaming.listen(0, "127.0.0.1", resolve));
        const delaying = await LoopbackProxy.create(() => `127.0.0.1:${(streaming.address() as AddressInfo).port}`);
        context.after(async () => {
            await delaying.close();
            streaming.closeAllConnections();
            streaming.close();
        });
        delaying.setMode(ProxyMode.Delay);
        const signal = AbortSignal.timeout(3_000);
        const answer = request(`http://${delaying.getAddress()}/`, { signal, reset: true });
        // The request itself is delayed first.
        await wait(380);
        delaying.setMode(ProxyMode.Pass);
        assert.equal(await (await answer).body.text(), parts.join(""));
    });

    it("resets connections", async () => {
        proxy.setMode(ProxyMode.Reset);
        await assert.rejects(call());
        assert.equal(arrived, 0);
    });

    it("drops the bytes of requests", async () => {
        proxy.setMode(ProxyMode.CutRequests);
        await assert.rejects(call());
        assert.equal(arrived, 0);
    });

    it("drops the bytes of responses", async () => {
        proxy.setMode(ProxyMode.CutAnswers);
        await assert.rejects(call());
        assert.equal(arrived, 1);
    });

    it("drops all bytes in silence mode and works again afterwards", async () => {
        proxy.setMode(ProxyMode.Silence);
        await assert.rejects(call());
        assert.equal(arrived, 0);
        proxy.setMode(ProxyMode.Pass);
        assert.equal(await call(), "answer");
    });
});
