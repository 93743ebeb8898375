import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { after, before, describe, it } from "node:test";
import type { Pass, PassResult } from "../../../src/connection/endpoint/engineProtocol.ts";
import { NodeFixture } from "../../connection/caller/nodeFixture.ts";
import { RawEndpoint } from "../../connection/document/rawEndpoint.ts";

/** How a fake engine answers a batch of passes. */
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

/** The answer to one batch. */
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

/** The result that an honest last stage brings; tokens count up. */
function createResult(pass: Pass): PassResult {
    const { id, request, attempt, position, layerStart, layerEnd, hidden = [] } = pass;
    const token = 100 + position;
    const common = { id, request, attempt, position, layerStart, layerEnd, queue: 0 };
    return { ...common, count: hidden.length, outcome: "done", token, text: `t${position} ` };
}

const answerWell: AnswerPasses = (passes, stream) => {
    for (const pass of passes) {
        stream.send(createResult(pass));
    }
    stream.end();
};

/** Answers well, but for a change of each result. */
function answerChanged(change: (result: PassResult) => object): AnswerPasses {
    return (passes, stream) => {
        for (const pass of passes) {
            stream.send(change(createResult(pass)));
        }
        stream.end();
    };
}

const faults: readonly (readonly [string, AnswerPasses])[] = [
    ["sends no JSON", (_passes, stream) => stream.write("nonsense\n")],
    ["sends wrong types", answerChanged(result => ({ ...result, count: "1" }))],
    ["sends an oversized line", (_passes, stream) => stream.write("x".repeat(17 * 1024 * 1024))],
    ["answers for other ids", answerChanged(result => ({ ...result, id: result.id + 1_000 }))],
    ["answers for another request", answerChanged(result => ({ ...result, request: "other" }))],
    ["answers for another attempt", answerChanged(result => ({ ...result, attempt: 99 }))],
    ["answers for an earlier position", answerChanged(result => ({ ...result, position: result.position + 7 }))],
    ["answers for another range of layers", answerChanged(result => ({ ...result, layerEnd: 7 }))],
    ["runs no position", answerChanged(result => ({ ...result, count: 0 }))],
    ["runs too many positions", answerChanged(result => ({ ...result, count: 1_000_000 }))],
    ["brings no token", answerChanged(result => ({ ...result, token: undefined }))],
    ["ends without a result", (_passes, stream) => stream.end()],
    ["never ends and brings nothing", () => undefined],
    ["fails each pass", answerChanged(result => ({ ...result, outcome: "failed", reason: "broken" }))],
];

describe("engines that misbehave", () => {
    let fixture: NodeFixture;
    let raw: RawEndpoint;
    let answerPasses = answerWell;
    let statusBody = JSON.stringify(status);

    before(async () => {
        raw = await RawEndpoint.create({ onRequest: answerRequest });
        fixture = await NodeFixture.create({
            addresses: { "engine-2": raw.getAddress() },
            // On a busy machine the node may order the other engine to load the layers of this one, whose answers are
            // what is looked at; that load never ends here.
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
        answerPasses = answerWell;
        const answer = await fixture.chat();
        assert.equal(answer.status, 200, answer.text);
        assert.match(answer.text, /t0 t4 t5 t6 /);
    }

    it("serve while they behave", assertServes);

    it("may send results twice, and end their answers late or never", async () => {
        answerPasses = (passes, stream) => {
            for (const pass of [...passes, ...passes]) {
                stream.send(createResult(pass));
            }
        };
        const answer = await fixture.chat();
        assert.match(answer.text, /t0 t4 t5 t6 /);
    });

    it("may answer out of order", async () => {
        answerPasses = (passes, stream) => answerWell([...passes].reverse(), stream);
        const answers = await Promise.all([fixture.chat(), fixture.chat(), fixture.chat()]);
        for (const answer of answers) {
            assert.match(answer.text, /t0 t4 t5 t6 /);
        }
    });

    for (const [fault, answer] of faults) {
        it(`give no wrong answer where one ${fault}, and serve when it behaves again`, async () => {
            let batches = 0;
            // Answers well after some time, so that the request ends.
            answerPasses = (passes, stream) => {
                batches += 1;
                (batches > 6 ? answerWell : answer)(passes, stream);
            };
            const text = (await fixture.chat()).text;
            assert.match(text, /t0 t4 t5 t6 |"outcome":"failed"|"outcome":"notRun"/);
            await assertServes();
        });
    }

    it("may show a status of a wrong shape", async () => {
        for (const wrong of ["nonsense", "{}", "[]", "null", JSON.stringify({ ...status, layers: "all" })]) {
            statusBody = wrong;
            await new Promise(resolve => setTimeout(resolve, 600));
            await assertServes();
        }
        statusBody = JSON.stringify(status);
    });

    it("never make a node read a status without end", async () => {
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
                        let hasRoom = true;
                        while (hasRoom && !socket.destroyed && sentBytes < maximumBytes) {
                            sentBytes += chunk.length;
                            hasRoom = socket.write(chunk);
                        }
                        if (hasRoom && sentBytes >= maximumBytes) {
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
        assert.ok(isCutOff, `The node has read ${sentBytes} bytes of one status.`);
    });
});
