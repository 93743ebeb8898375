import assert from "node:assert/strict";
import { describe, it, type TestContext } from "node:test";
import { computeReferenceAnswer } from "../../standins/engine/referenceModel.ts";
import { engineHarness } from "./engineHarness.ts";

const { start, send, sendOne, createPass, post, modelLayers } = engineHarness;

describe("split runs", () => {
    async function doTest(context: TestContext, bounds: number[], prompt: string) {
        const ranges = bounds.slice(1).map((end, index) => ({ start: bounds[index] ?? 0, end }));
        const engines = await Promise.all(
            ranges.map(range => start(context, { layers: [{ model: "m", ...range }] })),
        );
        const tokens: number[] = [];
        let text = "";
        let position = 0;
        let ended = false;
        while (!ended && tokens.length < 40) {
            const last = tokens.at(-1);
            let hidden: number[] | undefined;
            for (const [index, engine] of engines.entries()) {
                const range = { layerStart: ranges[index]?.start ?? 0, layerEnd: ranges[index]?.end ?? 0 };
                const input = hidden ? { hidden } : last === undefined ? { text: prompt } : { tokens: [last] };
                const result = await sendOne(engine, { ...range, position, ...input });
                assert.equal(result.outcome, "done");
                hidden = result.hidden;
                if (!hidden) {
                    position += result.count ?? 0;
                    ended = result.end ?? false;
                    text += result.text;
                    tokens.push(...(ended ? [] : [result.token ?? -1]));
                }
            }
        }
        assert.deepEqual({ tokens, text, ended }, computeReferenceAnswer({ modelLayers, prompt, maximumTokens: 40 }));
    }

    for (const bounds of [[0, 12], [0, 5, 12], [0, 4, 5, 12]]) {
        it(`computes the reference answer with ${bounds.length - 1} engines`, async context => {
            await doTest(context, bounds, "explain this payslip");
            await doTest(context, bounds, "");
        });
    }

    it("ends some answers before the maximum number of tokens, but not all", () => {
        const answers = Array.from(
            { length: 50 },
            (_, index) => computeReferenceAnswer({ modelLayers, prompt: `prompt ${index}`, maximumTokens: 200 }),
        );
        assert.ok(answers.some(answer => answer.ended) && answers.some(answer => !answer.ended));
    });
});

describe("passes", () => {
    it("runs a repeated pass once, while it is pending and after it has run", async context => {
        const engine = await start(context);
        const results = await send(engine, createPass(), createPass({ id: 2 }));
        const later = await sendOne(engine, { id: 3 });
        assert.deepEqual(results.map(result => ({ ...result, queue: 0, id: 3 })), [later, later]);
        assert.equal(engine.record.summary.layerPositions, 3 * modelLayers);
        assert.equal(engine.record.summary.repeatedPasses, 2);
    });

    it("merges consecutive runs of a sequence in the execution record", async context => {
        const engine = await start(context);
        await sendOne(engine);
        await sendOne(engine, { position: 3, tokens: [77] });
        const range = { model: "m", layerStart: 0, layerEnd: modelLayers };
        assert.deepEqual(engine.record.getRuns("r"), [{ attempt: 0, position: 0, count: 4, ...range, rebuild: false }]);
    });

    async function doRefusalTest(context: TestContext, reason: string, change: object, options: object = {}) {
        const engine = await start(context, options);
        assert.equal((await sendOne(engine)).outcome, "done");
        const result = await sendOne(engine, change);
        assert.deepEqual([result.outcome, result.reason], ["refused", reason]);
        assert.equal(engine.record.summary.passes, 1);
    }

    it("refuses a pass at the wrong position", context =>
        doRefusalTest(context, "order", { position: 2, tokens: [5] }));
    it("refuses a new sequence that does not start at position 0", context =>
        doRefusalTest(context, "order", { request: "s", position: 3, tokens: [5] }));
    it("refuses layers that are not held", context =>
        doRefusalTest(context, "layers", { request: "s", layerEnd: modelLayers + 1 }));
    it("refuses an unknown model", context => doRefusalTest(context, "model", { request: "s", model: "n" }));
    it("refuses a sequence that does not fit in memory", context =>
        doRefusalTest(context, "memory", { request: "s" }, { memoryPositions: 5 }));
    it("refuses too many sequences", context =>
        doRefusalTest(context, "memory", { request: "s" }, { maximumSequences: 1 }));

    it("refuses a cancelled attempt and reuses its memory", async context => {
        const engine = await start(context, { maximumSequences: 1 });
        await sendOne(engine);
        assert.equal((await sendOne(engine, { attempt: 1, rebuild: true })).reason, "memory");
        await post(engine, "/v1/cancel", { request: "r", attempt: 0 });
        assert.equal((await sendOne(engine)).reason, "cancelled");
        assert.equal((await sendOne(engine, { attempt: 1, rebuild: true })).outcome, "done");
        assert.equal(engine.record.summary.rebuildLayerPositions, 3 * modelLayers);
    });

    it("continues running sequences while leaving, but starts no new ones", async context => {
        const engine = await start(context);
        await sendOne(engine);
        engine.setFaults({ leaving: true });
        assert.equal((await sendOne(engine, { position: 3, tokens: [9] })).outcome, "done");
        assert.equal((await sendOne(engine, { request: "s" })).reason, "leaving");
    });

    it("moves a cache to another engine", async context => {
        const [source, target, single] = await Promise.all([start(context), start(context), start(context)]);
        await sendOne(source);
        const blob = await (await post(source, "/v1/cache/export", { request: "r", attempt: 0 })).json();
        assert.equal((await post(target, "/v1/cache/import", blob)).status, 200);
        await sendOne(single);
        const next = { position: 3, tokens: [9] };
        assert.deepEqual(await sendOne(target, next), await sendOne(single, next));
    });

    it("runs a failing pass partially and stores its result", async context => {
        const engine = await start(context);
        engine.setFaults({ failNextPasses: 1 });
        assert.equal((await sendOne(engine)).outcome, "failed");
        assert.equal((await sendOne(engine)).outcome, "failed");
        assert.equal((await sendOne(engine, { position: 3, tokens: [9] })).reason, "order");
        assert.equal(engine.record.summary.layerPositions, 3 * modelLayers / 2);
    });

    it("runs passes with a higher priority first", async context => {
        const engine = await start(context, { maximumBatchPositions: 3 });
        const results = await send(engine, createPass(), createPass({ request: "s", priority: 2 }));
        assert.deepEqual(results.map(result => result.request), ["s", "r"]);
    });

    it("publishes cache events with gaps", async context => {
        const engine = await start(context, { cacheEventDelayMilliseconds: 0, cacheEventGapEvery: 2 });
        const text = "word ".repeat(16 * 20);
        await sendOne(engine, { text });
        await sendOne(engine, { text, request: "s" });
        const events = engine.cacheEvents.getEvents(0);
        assert.equal(engine.getStatus().cacheSequence, 20);
        assert.ok(events.length > 0 && events.length < 20);
        assert.deepEqual(engine.cacheEvents.getEvents(events[0]?.sequence ?? 0), events.slice(1));
    });

    it("responds to invalid input with an error status and keeps running", async context => {
        const engine = await start(context);
        const post400 = [{ passes: [createPass({ text: undefined })] }, { passes: 1 }, [], "x"];
        for (const body of post400) {
            assert.equal((await post(engine, "/v1/passes", body)).status, 400);
        }
        assert.equal((await post(engine, "/v1/passes", "x".repeat(17 * 1024 * 1024))).status, 413);
        assert.equal((await fetch(`http://${engine.getAddress()}/v1/health`)).status, 200);
    });
});

describe("orders", () => {
    async function doTest(context: TestContext, checksFencing: boolean, status: number, isHeld: boolean) {
        const engine = await start(context, { checksFencing });
        const range = { model: "m", start: 0, end: 4 };
        assert.equal((await post(engine, "/v1/orders", { fencingNumber: 5, kind: "load", range })).status, 200);
        assert.equal((await post(engine, "/v1/orders", { fencingNumber: 4, kind: "unload", range })).status, status);
        assert.equal((await sendOne(engine)).outcome === "done", isHeld);
        assert.equal(engine.getStatus().fencingNumber, 5);
    }

    it("holds the layers of a load order once the weights are loaded", async context => {
        const engine = await start(context, { layers: [], weightLoadMilliseconds: 1 });
        const range = { model: "m", start: 0, end: modelLayers };
        await post(engine, "/v1/orders", { fencingNumber: 1, kind: "load", range });
        while (engine.getStatus().layers.length === 0) {
            await new Promise(setImmediate);
        }
        assert.equal((await sendOne(engine)).outcome, "done");
        assert.equal(
            (await post(engine, "/v1/orders", {
                fencingNumber: 1,
                kind: "load",
                range: { ...range, model: "toString" },
            })).status,
            400,
        );
    });

    it("refuses an old fencing number if it checks fencing", context => doTest(context, true, 409, true));
    it("accepts an old fencing number if it does not check fencing", context => doTest(context, false, 200, false));
});

describe("connection faults", () => {
    it("permanently silences open connections while new ones work", async context => {
        const engine = await start(context, { stepBaseMilliseconds: 30 });
        const silent = post(engine, "/v1/passes", { passes: [createPass()] }).then(response => response.text());
        while (engine.record.summary.passes === 0) {
            await new Promise(setImmediate);
        }
        engine.setFaults({ freezeExistingConnections: true });
        const repeated = await sendOne(engine, { id: 2 });
        assert.equal(repeated.outcome, "done");
        assert.equal(engine.record.summary.passes, 1);
        assert.equal(await Promise.race([silent, Promise.resolve("silent")]), "silent");
        await engine.close();
        await assert.rejects(silent);
    });

    it("defers all requests while frozen, except on control paths", async context => {
        const engine = await start(context);
        await post(engine, "/standin/faults", { freeze: true });
        const answer = sendOne(engine);
        assert.equal((await fetch(`http://${engine.getAddress()}/standin/record/summary`)).status, 200);
        assert.equal(engine.record.summary.passes, 0);
        await post(engine, "/standin/faults", { freeze: false });
        assert.equal((await answer).outcome, "done");
    });

    it("resets the connection during the response and stores the result", async context => {
        const engine = await start(context);
        engine.setFaults({ resetNextBatches: 1 });
        await assert.rejects(sendOne(engine));
        assert.equal((await sendOne(engine)).outcome, "done");
        assert.equal(engine.record.summary.passes, 1);
    });
});
