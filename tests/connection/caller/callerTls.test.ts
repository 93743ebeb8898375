import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import type { AddressInfo } from "node:net";
import { after, before, describe, it } from "node:test";
import { Agent, request } from "undici";
import { createHttpServer } from "../../../src/connection/caller/createHttpServer.ts";

describe("the server for callers with TLS", () => {
    const read = (file: string) => {
        return readFileSync(new URL(`../../support/certificates/${file}`, import.meta.url), "utf8");
    };
    const limits = {
        maximumConnections: 10,
        maximumHeldBytes: 100_000_000,
        maximumRequestsPerConnection: 32,
        headerTimeoutMilliseconds: 1_000,
        bodyTimeoutMilliseconds: 1_000,
    };
    const tls = { certificate: read("node.crt"), key: read("node.key") };
    const server = createHttpServer({ limits, tls }, (_request, response) => response.end("answered"));

    before(() => new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve)));

    after(() => server.close());

    async function ask(scheme: string, authority: string): Promise<string> {
        const { port } = server.address() as AddressInfo;
        const dispatcher = new Agent({ connect: { ca: read(authority) } });
        try {
            const response = await request(`${scheme}://127.0.0.1:${port}/`, { dispatcher });
            return await response.body.text();
        }
        finally {
            await dispatcher.destroy();
        }
    }

    it("answers callers that trust its certificate authority", async () => {
        assert.equal(await ask("https", "authority.crt"), "answered");
    });

    it("is rejected by callers that trust another authority, and rejects unencrypted connections", async () => {
        await assert.rejects(ask("https", "stranger.crt"));
        await assert.rejects(ask("http", "authority.crt"));
    });
});
