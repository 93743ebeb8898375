import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { after, before, describe, it } from "node:test";
import type { Pass, PassResult } from "../../../src/connection/endpoint/engineProtocol.ts";
import { RawEndpoint } from "../../../standins/network/rawEndpoint.ts";
import { NodeFixture } from "../../connection/caller/nodeFixture.ts";

/** Function with which a fake engine answers a batch of passes. */
type AnswerPasses = (passes: readonly Pass[], stream: ResultStream) => void;

const status = {
    endpoint: "engine-2",
    leaving: false,
    layers: [{ model: "model", start: 4, end: 8 }],
    queue: 0,
    sequences: 0,
    freePositions: 1_000,
    fencingNumber: 0,
    loadAgeMilliseconds: 0,
    cacheSequence: 0,
};

/** Response stream of one batch. */
class ResultStream {
    private readonly socket: Socket;

    constructor(socket: Socket) {
        this.socket = socket;
        socket.write("HTTP/1.1 200 OK\r\ncontent-type: application/x-ndjson\r\ntransfer-encoding: chunked\r\n\r\n");
    }

    write(text: string): void {
        this.socket.write(`${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`);
    }

    send(result: object): void {
        this.write(`${JSON.stringify(result)}\n`);
    }

    end(): void {
        this.socket.write("0\r\n\r\n");
    }
}

/** Creates the correct result of the last stage. Token numbers are ascending. */
function createResult(pass: Pass): PassResult {
    const { id, request, attempt, position, layerStart, layerEnd, hidden = [] } = pass;
    const token = 100 + position;
    const common = { id, request, attempt, position, layerStart, layerEnd, queue: 0 };
    return { ...common, count: hidden.length, outcome: "done", token, text: `t${position} ` };
}

const answerCorrectly: AnswerPasses = (passes, stream) => {
    for (const pass of passes) {
        stream.send(createResult(pass));
    }
    stream.end();
};

/** Creates a function that answers with modified results. */
function answerModified(change: (result: PassResult) => object): AnswerPasses {
    return (passes, stream) => {
        for (const pass of passes) {
            stream.send(change(createResult(pass)));
        }
        stream.end();
    };
}

const faults: readonly (readonly [string, AnswerPasses])[] = [
    ["sends invalid JSON", (_passes, stream) => stream.write("nonsense\n")],
    ["sends wrong types", answerModified(result => ({ ...result, count: "1" }))],
    ["sends an oversized line", (_passes, stream) => stream.write("x".repeat(17 * 1024 * 1024))],
    ["answers for other ids", answerModified(result => ({ ...result, id: result.id + 1_000 }))],
    ["answers for another request", answerModified(result => ({ ...result, request: "other" }))],
    ["answers for another attempt", answerModified(result => ({ ...result, attempt: 99 }))],
    ["answers for an earlier position", answerModified(result => ({ ...result, position: result.position + 7 }))],
    ["answers for another range of layers", answerModified(result => ({ ...result, layerEnd: 7 }))],
    ["runs no positions", answerModified(result => ({ ...result, count: 0 }))],
    ["runs too many positions", answerModified(result => ({ ...result, count: 1_000_000 }))],
    ["returns no token", answerModified(result => ({ ...result, token: undefined }))],
    ["ends without a result", (_passes, stream) => stream.end()],
    ["never ends and returns nothing", () => undefined],
    ["fails each pass", answerModified(result => ({ ...result, outcome: "failed", reason: "broken" }))],
];

describe("misbehaving engines", () => {
    let fixture: NodeFixture;
    let raw: RawEndpoint;
    let answerPasses = answerCorrectly;
    let statusBody = JSON.stringify(status);

    before(async () => {
        raw = await RawEndpoint.create({ onRequest: answerRequest });
        fixture = await NodeFixture.create({
            addresses: { "engine-2": raw.getAddress() },
            // On a busy machine the node may order the other engine to load the layers of the tested engine, which
            // would then no longer be used. The long load time prevents this.
            weightLoadMilliseconds: 3_600_000,
        });
    });

    after(async () => {
        await fixture.close();
        await raw.close();
    });

    function answerRequest(socket: Socket, request: string): void {
        if (request.startsWith("POST /v1/passes")) {
            const { passes } = JSON.parse(request.split("\r\n\r\n")[1]!) as { passes: Pass[]; };
            answerPasses(passes, new ResultStream(socket));
            return;
        }
        const body = request.startsWith("GET /v1/status") ? statusBody : "{}";
        socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`);
    }

    async function assertServes(): Promise<void> {
        answerPasses = answerCorrectly;
        const answer = await fixture.chat();
        assert.equal(answer.status, 200, answer.text);
        assert.match(answer.text, /t0 t4 t5 t6 /);
    }

    it("serve while they answer correctly", assertServes);

    it("may send duplicate results and never end their responses", async () => {
        answerPasses = (passes, stream) => {
            for (const pass of [...passes, ...passes]) {
                stream.send(createResult(pass));
            }
        };
        const answer = await fixture.chat();
        assert.match(answer.text, /t0 t4 t5 t6 /);
    });

    it("may answer out of order", async () => {
        answerPasses = (passes, stream) => answerCorrectly([...passes].reverse(), stream);
        const answers = await Promise.all([fixture.chat(), fixture.chat(), fixture.chat()]);
        for (const answer of answers) {
            assert.match(answer.text, /t0 t4 t5 t6 /);
        }
    });

    for (const [fault, answer] of faults) {
        it(`cause no wrong answer if one ${fault}, and serve after it recovers`, async () => {
            let batches = 0;
            // Answers correctly after six batches, so that the request ends.
            answerPasses = (passes, stream) => {
                batches += 1;
                (batches > 6 ? answerCorrectly : answer)(passes, stream);
            };
            const text = (await fixture.chat()).text;
            assert.match(text, /t0 t4 t5 t6 |"outcome":"failed"|"outcome":"notRun"/);
            await assertServes();
        });
    }

    it("may return an invalid status", async () => {
        for (const wrong of ["nonsense", "{}", "[]", "null", JSON.stringify({ ...status, layers: "all" })]) {
            statusBody = wrong;
            await new Promise(resolve => setTimeout(resolve, 600));
            await assertServes();
        }
        statusBody = JSON.stringify(status);
    });

    it("cannot make a node read an endless status", async () => {
        const maximumBytes = 64 * 1024 * 1024;
        let sentBytes = 0;
        const isCutOff = await new Promise<boolean>(resolve => {
            raw.options = {
                onRequest: (socket, request) => {
                    if (!request.startsWith("GET /v1/status") || sentBytes > 0) {
                        answerRequest(socket, request);
                        return;
                    }
                    socket.write(`HTTP/1.1 200 OK\r\ncontent-length: 1000000000000\r\n\r\n`);
                    const chunk = " ".repeat(1024 * 1024);
                    const write = () => {
                        let canWrite = true;
                        while (canWrite && !socket.destroyed && sentBytes < maximumBytes) {
                            sentBytes += chunk.length;
                            canWrite = socket.write(chunk);
                        }
                        if (canWrite && sentBytes >= maximumBytes) {
                            resolve(false);
                            socket.destroy();
                        }
                    };
                    socket.on("drain", write);
                    socket.on("close", () => resolve(sentBytes < maximumBytes));
                    write();
                },
            };
        });
        raw.options = { onRequest: answerRequest };
        assert.ok(isCutOff, `The node read ${sentBytes} bytes of one status.`);
    });
});
