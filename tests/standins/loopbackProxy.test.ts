import assert from "node:assert/strict";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { after, before, beforeEach, describe, it } from "node:test";
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
