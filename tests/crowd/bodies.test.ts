import { afterEach, beforeEach, describe, it } from "node:test";
import { createCrowdHead } from "./createCrowdHead.ts";
import { crowdLimits } from "./crowdLimits.ts";
import { assertWithinLimits, playCrowd } from "./playCrowd.ts";
import { RouterProcess } from "./routerProcess.ts";

const { bodyBytes } = crowdLimits;
const chunked = "Transfer-Encoding: chunked";
const largeChunkBytes = 64 * 1024;
const largeChunk = `${largeChunkBytes.toString(16)}\r\n${"x".repeat(largeChunkBytes)}\r\n`;
/** Number of large chunks of a body that stops just short of the limit. */
const largeChunks = bodyBytes / largeChunkBytes - 1;
const tinyChunksPerBlock = 1_024;
const tinyChunks = "1\r\nx\r\n".repeat(tinyChunksPerBlock);
/** Number of blocks of tiny chunks of a body that stops just short of the limit. */
const tinyBlocks = bodyBytes / tinyChunksPerBlock - 1;
/** Their bodies together are larger than the machine's memory without what a calm process needs. */
const crowdConnections = 120;
const tinyChunkConnections = 12;

describe("Bodies of many callers at once", () => {
    let router: RouterProcess;

    beforeEach(async () => {
        router = await RouterProcess.create();
    });

    afterEach(() => router.close());

    for (const [kind, path] of [["documents", "/safe/x"], ["streams", "/model/x"]] as const) {
        const head = createCrowdHead({ path, framing: chunked });

        it(`exceed no limit in large chunks, for ${kind}`, async () => {
            const plan = { head, block: largeChunk, blocks: largeChunks, connections: crowdConnections, reads: true };
            await playCrowd(router, { port: router.port, ...plan }, path);
        });

        it(`exceed no limit in tiny chunks, for ${kind}`, async () => {
            const plan = {
                head,
                block: tinyChunks,
                blocks: tinyBlocks,
                connections: tinyChunkConnections,
                reads: true,
            };
            await playCrowd(router, { port: router.port, ...plan }, path);
        });

        it(`exceed no limit where they stop short of their length, for ${kind}`, async () => {
            const announced = createCrowdHead({ path, framing: `Content-Length: ${bodyBytes}` });
            const plan = { head: announced, block: "x".repeat(largeChunkBytes), blocks: largeChunks };
            await playCrowd(
                router,
                { port: router.port, ...plan, connections: crowdConnections, reads: true },
                path,
            );
        });

        it(`are served where one comes in tiny chunks, for ${kind}`, async () => {
            const caller = await router.connect();
            caller.write(head);
            for (let count = 0; count < tinyBlocks; count += 1) {
                caller.write(tinyChunks);
            }
            caller.write("0\r\n\r\n");
            while (!caller.getReceived().startsWith("HTTP/1.1 200 ")) {
                assertWithinLimits(router);
                await new Promise(resolve => setTimeout(resolve, 100));
            }
            caller.socket.destroy();
            await router.waitForAnswer(path);
            assertWithinLimits(router);
        });
    }

    it("exceed no limit with an unknown key", async () => {
        const head = createCrowdHead({ path: "/safe/x", framing: chunked, key: "unknown" });
        const plan = { head, block: largeChunk, blocks: largeChunks, connections: crowdConnections, reads: true };
        await playCrowd(router, { port: router.port, ...plan }, "/safe/x");
    });

    it("exceed no limit without a route", async () => {
        const head = createCrowdHead({ path: "/none/x", framing: chunked });
        const plan = { head, block: largeChunk, blocks: largeChunks, connections: crowdConnections, reads: true };
        await playCrowd(router, { port: router.port, ...plan }, "/safe/x");
    });
});
