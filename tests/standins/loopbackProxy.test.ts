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

    it("passes bytes on, also with a delay", async () => {
        assert.equal(await call(), "answer");
        proxy.setMode(ProxyMode.Delay);
        const startedAt = Date.now();
        assert.equal(await call(), "answer");
        assert.ok(Date.now() - startedAt >= 290);
    });

    // Seed 341 of the soak: a delay ended in the middle of a stream, whose later events overtook those that were still held up ("The events
    // are 1 11 12 ..."). No connection does that.
    it("keeps the order of bytes where a delay ends between them", async context => {
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
        // The request itself is held up first.
        await wait(380);
        delaying.setMode(ProxyMode.Pass);
        assert.equal(await (await answer).body.text(), parts.join(""));
    });

    it("resets connections", async () => {
        proxy.setMode(ProxyMode.Reset);
        await assert.rejects(call());
        assert.equal(arrived, 0);
    });

    it("cuts the way of the requests", async () => {
        proxy.setMode(ProxyMode.CutRequests);
        await assert.rejects(call());
        assert.equal(arrived, 0);
    });

    it("cuts the way of the answers", async () => {
        proxy.setMode(ProxyMode.CutAnswers);
        await assert.rejects(call());
        assert.equal(arrived, 1);
    });

    it("falls silent, and passes bytes on again", async () => {
        proxy.setMode(ProxyMode.Silence);
        await assert.rejects(call());
        assert.equal(arrived, 0);
        proxy.setMode(ProxyMode.Pass);
        assert.equal(await call(), "answer");
    });
});
