import assert from "node:assert/strict";
import { after, afterEach, before, describe, it } from "node:test";
import { waitUntil } from "../../support/waitUntil.ts";
import { NodeFixture } from "./nodeFixture.ts";
import { RawCaller } from "./rawCaller.ts";

const maximumHeldBytes = 2_000_000;
const bodyBytes = 100_000;
const missingBytes = 10;
/** Their bodies together are several times as large as what may be held. */
const crowdCallers = 40;
const memoryReleased = 1750;

describe("Bodies that stop short at a node", () => {
    let fixture: NodeFixture;
    let callers: RawCaller[] = [];

    before(async () => {
        fixture = await NodeFixture.create({ limits: { maximumHeldBytes } });
    });

    after(() => fixture.close());

    afterEach(async () => {
        for (const { socket } of callers) {
            socket.destroy();
        }
        callers = [];
        await waitUntil("no request is left", () => fixture.node.getStatus().runningRequests === 0);
        await fixture.assertServes();
    });

    async function sendIncomplete(framing: string, body: string): Promise<void> {
        const caller = await RawCaller.connect(fixture.address);
        callers.push(caller);
        const headers = ["host: node", `authorization: Bearer ${NodeFixture.apiKey}`, framing];
        caller.write(`POST /v1/chat/completions HTTP/1.1\r\n${headers.join("\r\n")}\r\n\r\n${body}`);
    }

    const forms = {
        "with a length": [`content-length: ${bodyBytes}`, "x".repeat(bodyBytes - missingBytes)],
        "in large chunks": ["transfer-encoding: chunked", `15f86\r\n${"x".repeat(0x15f86)}\r\n`],
        "in tiny chunks": ["transfer-encoding: chunked", "1\r\nx\r\n".repeat(bodyBytes - missingBytes)],
    } as const;

    for (const [form, [framing, body]] of Object.entries(forms)) {
        it(`give way to others ${form}, refused as not run`, { timeout: 30_000 }, async () => {
            const releases = fixture.log.numbers.filter(number => number === memoryReleased).length;
            for (let count = 0; count < crowdCallers; count += 1) {
                await sendIncomplete(framing, body);
            }
            await waitUntil("some are refused", () => callers.some(caller => caller.getReceived() !== ""));
            await fixture.assertServes();
            const refused = callers.map(caller => caller.getReceived()).filter(text => text !== "");
            for (const text of refused) {
                assert.match(text, /^HTTP\/1\.1 503 [^]*\r\nretry-after: 1\r\n[^]*"memory_limit"[^]*"notRun"/i);
            }
            assert.ok(refused.length < crowdCallers);
            assert.ok(fixture.log.numbers.filter(number => number === memoryReleased).length > releases);
        });
    }
});
