import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, get, type IncomingMessage, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { after, before, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { LocalDeployment } from "../../scripts/deployment/localDeployment.ts";
import { testEngines } from "./testEngines.ts";

const answerBytes = 12 * 1024 * 1024;
const pauseMilliseconds = 3_000;

describe("A caller that reads slowly", () => {
    let deployment: LocalDeployment;
    let archive: Server;

    before(async () => {
        archive = createServer((_request, response) => response.end(Buffer.alloc(answerBytes, "a")));
        archive.listen(0, "127.0.0.1");
        await once(archive, "listening");
        const engines = testEngines.slice(1, 3);
        deployment = await LocalDeployment.create({ nodes: 1, engines, documents: 1, isBuilt: false });
        await deployment.apply(deployment.writeConfiguration(addArchive));
    });

    after(async () => {
        await deployment.kill();
        archive.close();
    });

    function addArchive(configuration: Record<string, unknown>): void {
        const endpoints = configuration["endpoints"] as Record<string, object>;
        const services = configuration["services"] as Record<string, object>;
        const address = `127.0.0.1:${(archive.address() as AddressInfo).port}`;
        endpoints["archive"] = { kind: "document", address, dataCentre: "centre-a" };
        services["archives"] = { kind: "document", endpoints: ["archive"], idempotent: true };
    }

    it("gets the complete response from a node that is shutting down", async () => {
        const node = deployment.nodes[0]!;
        const headers = { authorization: `Bearer ${deployment.apiKey}` };
        const response = await new Promise<IncomingMessage>((resolve, reject) => {
            get(`http://${node.callerAddress}/v1/services/archives/all`, { headers }, resolve).on("error", reject);
        });
        assert.equal(response.statusCode, 200);
        const stopped = node.process.stop();
        await sleep(pauseMilliseconds);
        let bytes = 0;
        for await (const chunk of response) {
            bytes += (chunk as Buffer).length;
        }
        assert.equal(bytes, answerBytes);
        assert.equal(await stopped, 0);
    });
});
