import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { after, before, beforeEach, describe, it } from "node:test";
import type { Pass } from "../../../src/connection/endpoint/engineProtocol.ts";
import { RawEndpoint } from "../../../standins/network/rawEndpoint.ts";
import { NodeFixture } from "../../connection/caller/nodeFixture.ts";

/** Position of the token at which an engine fails. */
const faultPosition = 8;
const answerText = "t4 t5 t6 t7 t8 t9 t10 t11 t12 t13 ";
const requestBody = { max_tokens: 10, stream: true };

describe("engines that fall silent or are full in the middle of an answer", () => {
    let fixture: NodeFixture;
    /** Holds the second half of the layers. */
    let raw: RawEndpoint;
    let silentUntil = 0;
    let onFault: (socket: Socket) => boolean = () => false;
    let refusedUntil = 0;
    let refusals = 0;
    const requestText = () => fixture.chat(requestBody).then(({ text }) => readText(text));

    before(async () => {
        raw = await RawEndpoint.create({ onRequest: receive });
        const addresses = { "engine-2": raw.getAddress() };
        fixture = await NodeFixture.create({ addresses, weightLoadMilliseconds: 3_600_000 });
    });

    beforeEach(async () => {
        onFault = () => false;
        silentUntil = 0;
        refusedUntil = 0;
        refusals = 0;
        assert.equal(await requestText(), answerText);
    });

    after(async () => {
        await fixture.close();
        await raw.close();
    });

    /** A silent engine reads and answers nothing, and goes on with everything afterwards. */
    function receive(socket: Socket, request: string): void {
        const silentMilliseconds = silentUntil - Date.now();
        if (silentMilliseconds > 0) {
            setTimeout(() => receive(socket, request), silentMilliseconds);
            return;
        }
        if (!request.startsWith("POST /v1/passes")) {
            send(socket, request.startsWith("GET /v1/status") ? createStatus() : {});
            return;
        }
        const { passes } = JSON.parse(request.split("\r\n\r\n")[1]!) as { passes: Pass[]; };
        const isAtFault = passes.some(({ position }) => position === faultPosition);
        if (isAtFault && onFault(socket)) {
            onFault = () => false;
            if (silentUntil > Date.now()) {
                receive(socket, request);
            }
            return;
        }
        send(socket, ...passes.map(createResult));
    }

    function createResult(pass: Pass): object {
        const { id, request, attempt, position, layerStart, layerEnd, hidden = [] } = pass;
        const count = hidden.length;
        const common = { id, request, attempt, position, layerStart, layerEnd, count, queue: 0 };
        if (refusedUntil > Date.now()) {
            refusals += 1;
            return { ...common, outcome: "refused", reason: "memory" };
        }
        const token = 100 + position + count;
        return { ...common, outcome: "done", token, text: `t${position + count} ` };
    }

    for (const milliseconds of [1_000, 1_500, 2_500]) {
        it(`a later stage that is silent for ${milliseconds} ms ends no answer`, async () => {
            onFault = () => {
                silentUntil = Date.now() + milliseconds;
                return true;
            };
            assert.equal(await requestText(), answerText);
        });

        it(`a first stage that is silent for ${milliseconds} ms ends no answer`, async () => {
            onFault = () => {
                fixture.engines[0]!.setFaults({ freeze: true });
                setTimeout(() => fixture.engines[0]!.setFaults({ freeze: false }), milliseconds);
                return false;
            };
            assert.equal(await requestText(), answerText);
        });
    }

    // Guards against 502 for a begun answer: refusals without a run used up its attempts within a second.
    it("the only engine that is full for 1.5 s after its connection has broken ends no answer", async () => {
        onFault = socket => {
            refusedUntil = Date.now() + 1_500;
            socket.destroy();
            return true;
        };
        assert.equal(await requestText(), answerText);
        assert.ok(refusals < 20, `The engine refused ${refusals} passes within 1.5 s.`);
    });

    it("an engine that is silent for 1.5 s and then full for 1 s ends no answer", async () => {
        onFault = () => {
            silentUntil = Date.now() + 1_500;
            refusedUntil = silentUntil + 1_000;
            return true;
        };
        assert.equal(await requestText(), answerText);
    });

    it("an engine that stays full ends the answer after a limited time", async () => {
        onFault = socket => {
            refusedUntil = Infinity;
            socket.destroy();
            return true;
        };
        const startedAt = Date.now();
        assert.notEqual(await requestText(), answerText);
        const milliseconds = Date.now() - startedAt;
        assert.ok(milliseconds > 7_000 && milliseconds < 12_000, `The answer ended after ${milliseconds} ms.`);
    });
});

function createStatus(): object {
    const layers = [{ model: "model", start: 4, end: 8 }];
    const load = { queue: 0, sequences: 0, freePositions: 1_000, loadAgeMilliseconds: 0 };
    return { endpoint: "engine-2", leaving: false, layers, ...load, fencingNumber: 0, cacheSequence: 0 };
}

function send(socket: Socket, ...lines: object[]): void {
    const body = lines.map(line => `${JSON.stringify(line)}\n`).join("");
    socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`);
}

/** Joins the texts of a streamed answer. */
function readText(answer: string): string {
    let text = "";
    for (const [, json] of answer.matchAll(/^data: (\{.*\})$/gm)) {
        const { choices } = JSON.parse(json!) as { choices?: { delta: { content?: string; }; }[]; };
        text += choices?.[0]?.delta.content ?? "";
    }
    return text;
}
