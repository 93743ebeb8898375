import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";
import type { Pass } from "../../../src/connection/endpoint/engineProtocol.ts";
import { RawEndpoint } from "../../../standins/network/rawEndpoint.ts";
import { NodeFixture } from "../../connection/caller/nodeFixture.ts";

/** Position of the token at which an engine fails. */
const faultPosition = 16;
const maximumTokens = 20;
const promptPositions = 4;
const answerText = Array.from({ length: maximumTokens }, (_value, index) => `t${index + promptPositions} `).join("");
/** Prevents the node from ordering an engine to load the layers of another one. */
const weightLoadMilliseconds = 3_600_000;

/** An engine that holds some layers. Times are wall times in milliseconds. */
class RawEngine {
    /** Until then, it reads and answers nothing. It goes on with everything afterwards. */
    silentUntil = 0;
    /** Until then, it runs no passes, but answers other calls. */
    stalledUntil = 0;
    /** Until then, it has no memory for sequences that it doesn't hold. */
    fullUntil = 0;
    maximumSequences = Infinity;
    refusals = 0;
    /** Whether its status says that it is leaving, so that it isn't chosen. */
    isLeaving = false;
    /** Whether another request takes the memory of a sequence as soon as it is freed. */
    isMemoryWanted = false;
    /** Called once, at the fault position. Returns whether the connection was closed. */
    onFault: ((socket: Socket) => boolean) | undefined;
    private endpoint!: RawEndpoint;
    private readonly name: string;
    private readonly layers: { start: number; end: number; };
    private readonly sequences = new Set<string>();

    private constructor(name: string, start: number, end: number) {
        this.name = name;
        this.layers = { start, end };
    }

    static async create(name: string, start: number, end: number): Promise<RawEngine> {
        const engine = new RawEngine(name, start, end);
        engine.endpoint = await RawEndpoint.create({ onRequest: (socket, text) => engine.receive(socket, text) });
        return engine;
    }

    getAddress(): string {
        return this.endpoint.getAddress();
    }

    reset(): void {
        this.silentUntil =
            this.stalledUntil =
            this.fullUntil =
            this.refusals =
                0;
        this.isMemoryWanted = false;
        this.onFault = undefined;
    }

    close(): Promise<void> {
        return this.endpoint.close();
    }

    private receive(socket: Socket, request: string): void {
        const isPass = request.startsWith("POST /v1/passes");
        const { passes = [] } = isPass ? JSON.parse(request.split("\r\n\r\n")[1]!) as { passes: Pass[]; } : {};
        const { onFault } = this;
        if (onFault !== undefined && passes.some(({ position }) => position === faultPosition)) {
            this.onFault = undefined;
            if (onFault(socket)) {
                this.sequences.clear();
                return;
            }
        }
        const waitMilliseconds = Math.max(this.silentUntil, isPass ? this.stalledUntil : 0) - Date.now();
        if (waitMilliseconds === Infinity) {
            return;
        }
        if (waitMilliseconds > 0) {
            setTimeout(() => this.receive(socket, request), waitMilliseconds);
            return;
        }
        if (request.startsWith("POST /v1/cancel")) {
            const { request: id, attempt } = JSON.parse(request.split("\r\n\r\n")[1]!) as Pass;
            const isFreed = this.sequences.delete(`${id}/${attempt}`);
            this.fullUntil = isFreed && this.isMemoryWanted ? Infinity : this.fullUntil;
        }
        const bodies = isPass ? passes.map(pass => this.run(pass)) : [this.createStatus()];
        const text = bodies.map(body => `${JSON.stringify(body)}\n`).join("");
        socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${Buffer.byteLength(text)}\r\n\r\n${text}`);
    }

    private run(pass: Pass): object {
        const { id, request, attempt, position, layerStart, layerEnd, text, tokens = [], hidden } = pass;
        const count = hidden?.length ?? tokens.length + (text === undefined ? 0 : promptPositions);
        const common = { id, request, attempt, position, layerStart, layerEnd, count, queue: 0 };
        const sequence = `${request}/${attempt}`;
        const isFull = this.fullUntil > Date.now() || this.sequences.size >= this.maximumSequences;
        if (!this.sequences.has(sequence) && (position > 0 || isFull)) {
            this.refusals += 1;
            return { ...common, outcome: "refused", reason: position > 0 ? "order" : "memory" };
        }
        this.sequences.add(sequence);
        if (layerEnd < 8) {
            return { ...common, outcome: "done", hidden: new Array(count).fill(0) };
        }
        return { ...common, outcome: "done", token: 100 + position + count, text: `t${position + count} ` };
    }

    private createStatus(): object {
        const load = { queue: 0, sequences: 0, freePositions: 1_000, loadAgeMilliseconds: 0 };
        const layers = [{ model: "model", ...this.layers }];
        return { endpoint: this.name, leaving: this.isLeaving, layers, ...load, fencingNumber: 0, cacheSequence: 0 };
    }
}

async function requestText(fixture: NodeFixture): Promise<string> {
    return readText((await fixture.chat({ max_tokens: maximumTokens, stream: true })).text);
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

describe("engines that fall silent or are full in the middle of an answer", () => {
    let fixture: NodeFixture;
    let engine: RawEngine;

    before(async () => {
        engine = await RawEngine.create("engine-2", 4, 8);
        fixture = await NodeFixture.create({ addresses: { "engine-2": engine.getAddress() }, weightLoadMilliseconds });
    });

    beforeEach(async () => {
        engine.reset();
        assert.equal(await requestText(fixture), answerText);
    });

    after(async () => {
        await fixture.close();
        await engine.close();
    });

    for (const milliseconds of [1_000, 1_500, 2_500]) {
        it(`a later stage that is silent for ${milliseconds} ms ends no answer`, async () => {
            engine.onFault = () => {
                engine.silentUntil = Date.now() + milliseconds;
                return false;
            };
            assert.equal(await requestText(fixture), answerText);
        });

        it(`a first stage that is silent for ${milliseconds} ms ends no answer`, async () => {
            engine.onFault = () => {
                fixture.engines[0]!.setFaults({ freeze: true });
                setTimeout(() => fixture.engines[0]!.setFaults({ freeze: false }), milliseconds);
                return false;
            };
            assert.equal(await requestText(fixture), answerText);
        });
    }

    // Guards against 502 for a begun answer: refusals without a run used up its attempts within a second.
    it("the only engine that is full for 1.5 s after its connection has broken ends no answer", async () => {
        engine.onFault = socket => {
            engine.fullUntil = Date.now() + 1_500;
            socket.destroy();
            return true;
        };
        assert.equal(await requestText(fixture), answerText);
        assert.ok(engine.refusals < 20, `The engine refused ${engine.refusals} passes within 1.5 s.`);
    });

    it("an engine that loses its sequences while it is silent for 1.5 s and is then full for 1 s ends no answer", async () => {
        engine.onFault = () => {
            engine.silentUntil = Date.now() + 1_500;
            engine.fullUntil = engine.silentUntil + 1_000;
            return true;
        };
        assert.equal(await requestText(fixture), answerText);
    });

    // Guards against 502 for an answer whose memory was freed because its engine was silent, and then taken by another request.
    it("a silent engine without free memory ends no answer", async () => {
        engine.onFault = () => {
            engine.silentUntil = Date.now() + 1_500;
            engine.isMemoryWanted = true;
            return false;
        };
        assert.equal(await requestText(fixture), answerText);
    });

    it("an engine that stays full ends the answer after a limited time", async () => {
        engine.onFault = socket => {
            engine.fullUntil = Infinity;
            socket.destroy();
            return true;
        };
        const startedAt = Date.now();
        assert.notEqual(await requestText(fixture), answerText);
        const milliseconds = Date.now() - startedAt;
        assert.ok(milliseconds > 7_000 && milliseconds < 12_000, `The answer ended after ${milliseconds} ms.`);
    });
});

// Guards against 502 for an answer that left a stalled engine for another one that has no memory for it: its memory was freed first.
describe("engines that stall in the middle of an answer while another one seems free", () => {
    for (const milliseconds of [1_200, 2_500]) {
        it(`end no answer if the other one is full (${milliseconds} ms)`, async test => {
            const engine = await RawEngine.create("engine-1", 0, 4);
            const next = await RawEngine.create("engine-2", 4, 8);
            const other = await RawEngine.create("engine-3", 0, 8);
            const addresses = {
                "engine-1": engine.getAddress(),
                "engine-2": next.getAddress(),
                "engine-3": other.getAddress(),
            };
            const fixture = await NodeFixture.create({ addresses, weightLoadMilliseconds });
            test.after(async () => {
                await fixture.close();
                for (const raw of [engine, next, other]) {
                    await raw.close();
                }
            });
            engine.isMemoryWanted = true;
            other.isLeaving = true;
            engine.onFault = () => {
                engine.stalledUntil = Date.now() + milliseconds;
                other.isLeaving = false;
                other.fullUntil = Infinity;
                return false;
            };
            // The other engine answers until the node has read its status.
            while (engine.onFault !== undefined) {
                assert.equal(await requestText(fixture), answerText);
            }
            assert.ok(other.refusals > 0, "The other engine was not asked.");
        });
    }
});

/** Three engines. The first one holds one sequence from the fault on, and the third one takes the place of the second one then. */
class SharedStageScenario {
    readonly first: RawEngine;
    readonly second: RawEngine;
    readonly third: RawEngine;
    private readonly fixture: NodeFixture;

    private constructor(engines: RawEngine[], fixture: NodeFixture) {
        [this.first, this.second, this.third] = engines as [RawEngine, RawEngine, RawEngine];
        this.fixture = fixture;
    }

    static async create(): Promise<SharedStageScenario> {
        const engines = [
            await RawEngine.create("engine-1", 0, 4),
            await RawEngine.create("engine-2", 4, 8),
            await RawEngine.create("engine-3", 4, 8),
        ];
        const [first, second, third] = engines.map(engine => engine.getAddress());
        const addresses = { "engine-1": first!, "engine-2": second!, "engine-3": third! };
        engines[2]!.isLeaving = true;
        return new SharedStageScenario(engines, await NodeFixture.create({ addresses, weightLoadMilliseconds }));
    }

    /** Sends a request whose second engine fails. Returns the text of the answer and its time in milliseconds. */
    async run(fail: (socket: Socket) => void): Promise<{ text: string; milliseconds: number; }> {
        this.second.onFault = socket => {
            this.first.maximumSequences = 1;
            this.third.isLeaving = false;
            fail(socket);
            return this.second.silentUntil === 0;
        };
        for (;;) {
            const startedAt = Date.now();
            const text = await requestText(this.fixture);
            if (this.second.onFault === undefined) {
                return { text, milliseconds: Date.now() - startedAt };
            }
            // The third engine runs requests until the node has read its status.
            assert.equal(text, answerText);
        }
    }

    async close(): Promise<void> {
        await this.fixture.close();
        for (const engine of [this.first, this.second, this.third]) {
            await engine.close();
        }
    }
}

// Guards against 502 for an answer whose memory at a sound engine was freed for another chain, while its silent engine was about to go on.
describe("an engine of a chain that falls silent while another engine of it has memory for one sequence", () => {
    let scenario: SharedStageScenario;

    beforeEach(async () => {
        scenario = await SharedStageScenario.create();
    });

    afterEach(() => scenario.close());

    for (const milliseconds of [1_500, 2_500]) {
        it(`ends no answer if another request wants the memory (${milliseconds} ms)`, async () => {
            scenario.first.isMemoryWanted = true;
            const { text } = await scenario.run(() => {
                scenario.second.silentUntil = Date.now() + milliseconds;
            });
            assert.equal(text, answerText);
            assert.ok(scenario.first.refusals > 0, "No other chain was tried.");
        });

        it(`ends no answer if the later stage of the other chain is full (${milliseconds} ms)`, async () => {
            scenario.second.isMemoryWanted = true;
            const { text } = await scenario.run(() => {
                scenario.third.fullUntil = Infinity;
                scenario.second.silentUntil = Date.now() + milliseconds;
            });
            assert.equal(text, answerText);
            assert.ok(scenario.first.refusals > 0, "No other chain was tried.");
        });
    }

    it("gives its memory to the other chain if it stays silent", async () => {
        const { text, milliseconds } = await scenario.run(() => {
            scenario.second.silentUntil = Infinity;
        });
        assert.equal(text, answerText);
        assert.ok(milliseconds < 7_000, `The answer took ${milliseconds} ms.`);
    });

    it("gives its memory to the other chain at once if its process has ended", async () => {
        const { text, milliseconds } = await scenario.run(() => void scenario.second.close());
        assert.equal(text, answerText);
        assert.ok(milliseconds < 2_000, `The answer took ${milliseconds} ms.`);
    });
});
