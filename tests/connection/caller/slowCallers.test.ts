import assert from "node:assert/strict";
import { after, afterEach, before, describe, it } from "node:test";
import { computeReferenceAnswer } from "../../../standins/engine/referenceModel.ts";
import { waitUntil } from "../../support/waitUntil.ts";
import { NodeFixture } from "./nodeFixture.ts";
import { RawCaller } from "./rawCaller.ts";

const prompt = "the contract of the year ";

/** Finds a prompt for which the reference model generates the maximum number of tokens. */
function findLongPrompt(maximumTokens: number): { content: string; text: string; } {
    for (let index = 0;; index += 1) {
        const content = `${prompt}${index}`;
        const answer = computeReferenceAnswer({ modelLayers: 8, prompt: `user: ${content}`, maximumTokens });
        if (!answer.ended) {
            return { content, text: answer.text };
        }
    }
}

function createRequest(body: string, headers: readonly string[] = []): string {
    const all = [
        "POST /v1/chat/completions HTTP/1.1",
        "host: node",
        `authorization: Bearer ${NodeFixture.apiKey}`,
        `content-length: ${Buffer.byteLength(body)}`,
        ...headers,
    ];
    return `${all.join("\r\n")}\r\n\r\n${body}`;
}

/** Concatenates the text of all events of a stream. */
function readText(received: string): string {
    let text = "";
    for (const [, data] of received.matchAll(/^data: (\{.*\})\r?$/gm)) {
        const event = JSON.parse(data!) as { choices: { delta: { content?: string; }; }[]; };
        text += event.choices[0]!.delta.content ?? "";
    }
    return text;
}

describe("callers that read slowly or disconnect", () => {
    let fixture: NodeFixture;
    const long = findLongPrompt(400);
    const body = { stream: true, max_tokens: 400, messages: [{ role: "user", content: long.content }] };

    before(async () => {
        fixture = await NodeFixture.create({ stepBaseMilliseconds: 1 });
    });

    after(() => fixture.close());

    afterEach(() => waitUntil("the engines hold no sequence", () => fixture.countSequences() === 0));

    async function startStream(headers: readonly string[] = [], change: object = {}): Promise<RawCaller> {
        const caller = await RawCaller.connect(fixture.address);
        caller.write(createRequest(NodeFixture.createChatBody({ ...body, ...change }), headers));
        await caller.waitFor("data: ");
        return caller;
    }

    it("get the complete answer when they continue reading, while others are served", async () => {
        const caller = await startStream(["connection: close"]);
        caller.socket.pause();
        await fixture.assertServes();
        await waitUntil("the answer has run", () => fixture.countSequences() === 0);
        caller.socket.resume();
        const received = await caller.readToEnd();
        assert.equal(readText(received), long.text);
        assert.match(received, /data: \[DONE\]/);
    });

    it("free their sequences at all engines when they disconnect", async () => {
        const caller = await startStream();
        assert.ok(fixture.countSequences() > 0);
        caller.socket.destroy();
        await waitUntil("the engines hold no sequence", () => fixture.countSequences() === 0);
        await waitUntil("no request is left", () => fixture.node.getStatus().runningRequests === 0);
    });

    it("also free the sequences of pipelined requests whose answers wait for others", async () => {
        const caller = await startStream();
        for (let index = 0; index < 3; index += 1) {
            caller.write(createRequest(NodeFixture.createChatBody(body)));
        }
        await waitUntil("all run", () => fixture.countSequences() === 8);
        const passes = fixture.countRuns();
        caller.socket.destroy();
        await waitUntil("no request is left", () => fixture.node.getStatus().runningRequests === 0);
        assert.ok(fixture.countRuns() - passes < 4 * 400, "The requests ran to completion without their caller.");
    });

    it("get the complete stored answer as a stream when they retry a claimed request", async () => {
        const key = NodeFixture.createKey();
        const claimed = { ...body, model: "letters" };
        const caller = await startStream([`idempotency-key: ${key}`], { model: "letters" });
        const during = await fixture.chat(claimed, { "idempotency-key": key });
        NodeFixture.assertError(during, { status: 409, code: "request_running", outcome: "running", message: /later/ });
        caller.socket.destroy();
        await waitUntil("no request is left", () => fixture.node.getStatus().runningRequests === 0);
        const passes = fixture.countRuns();
        for (let repeat = 0; repeat < 2; repeat += 1) {
            const answer = await fixture.chat(claimed, { "idempotency-key": key });
            assert.equal(answer.status, 200);
            assert.equal(answer.headers["x-foxlead-replayed"], "true");
            assert.equal(readText(answer.text), long.text);
            assert.match(answer.text, /data: \[DONE\]\n\n$/);
        }
        assert.equal(fixture.countRuns(), passes);
    });
});
