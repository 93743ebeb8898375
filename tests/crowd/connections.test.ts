import { afterEach, beforeEach, describe, it } from "node:test";
import { createCrowdHead } from "./createCrowdHead.ts";
import { crowdLimits } from "./crowdLimits.ts";
import { playCrowd } from "./playCrowd.ts";
import { RouterProcess } from "./routerProcess.ts";

/** More than the process may open. */
const idleConnections = crowdLimits.descriptors + 100;
const unreadConnections = 20;
const smallRequests = 20_000;
const smallRequestsPerBlock = 100;
const documentRequests = 300;
const documentBytes = 60_000;

describe("Connections of many callers at once", () => {
    let router: RouterProcess;

    beforeEach(async () => {
        router = await RouterProcess.create();
    });

    afterEach(() => router.close());

    it("exceed no limit where they send nothing", async () => {
        const plan = { head: "", block: "", blocks: 0, connections: idleConnections, reads: true, isRenewed: true };
        await playCrowd(router, { port: router.port, ...plan }, "/safe/x");
    });

    it("exceed no limit where they stop within a head", async () => {
        const head = createCrowdHead({ path: "/safe/x" }).slice(0, -4);
        const plan = { head, block: "", blocks: 0, connections: idleConnections, reads: true, isRenewed: true };
        await playCrowd(router, { port: router.port, ...plan }, "/safe/x");
    });

    it("exceed no limit where they stay open after an answer", async () => {
        const head = createCrowdHead({ path: "/none/x" });
        const plan = { head, block: "", blocks: 0, connections: idleConnections, reads: true, isRenewed: true };
        await playCrowd(router, { port: router.port, ...plan }, "/safe/x");
    });

    it("exceed no limit where refusals are not read", async () => {
        const block = "GET /none HTTP/1.1\r\nHost: one.example\r\n\r\n".repeat(smallRequestsPerBlock);
        const blocks = smallRequests / smallRequestsPerBlock;
        const plan = { head: "", block, blocks, connections: unreadConnections, reads: false };
        await playCrowd(router, { port: router.port, ...plan }, "/safe/x");
    });

    for (const reads of [false, true]) {
        it(`exceed no limit where the answers to documents are ${reads ? "" : "not "}read`, async () => {
            const head = createCrowdHead({ path: "/safe/x", framing: `Content-Length: ${documentBytes}` });
            const block = `${head}${"x".repeat(documentBytes)}`;
            const plan = { head: "", block, blocks: documentRequests, connections: unreadConnections, reads };
            await playCrowd(router, { port: router.port, ...plan }, "/safe/x");
        });
    }

    it("exceed no limit where streams are not read", async () => {
        const block = createCrowdHead({ path: "/model/x" }).repeat(smallRequestsPerBlock);
        const blocks = smallRequests / smallRequestsPerBlock;
        const plan = { head: "", block, blocks, connections: unreadConnections, reads: false };
        await playCrowd(router, { port: router.port, ...plan }, "/model/x");
    });
});
