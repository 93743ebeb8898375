import { array, assert as assertProperty, integer, property, record } from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { EstimatedTimeChooser } from "../../../src/request/chain/estimatedTimeChooser.ts";
import type { SelectCandidates } from "../../../src/request/chain/selectCandidates.ts";
import { ChainFixture } from "./chainFixture.ts";

const layers = 24;

describe("chooseChain", () => {
    const endpoints = array(
        record({ start: integer({ min: 0, max: layers - 1 }), length: integer({ min: 1, max: layers }) }),
        { minLength: 1, maxLength: 30 },
    );

    it("covers each layer once with usable endpoints only, or returns the first missing layer", () => {
        assertProperty(
            property(endpoints, integer(), integer({ min: 0, max: 29 }), (ranges, seed, excludedIndex) => {
                const fixture = ChainFixture.create(
                    layers,
                    ranges.map(({ start, length }, index) => ({
                        start,
                        end: Math.min(layers, start + length),
                        state: index % 7 === 3 ? "leaving" : index % 7 === 5 ? "unreachable" : "serving",
                    })),
                );
                const excluded = new Set([`e${excludedIndex}`]);
                const result = fixture.createChooser(seed).chooseChain(fixture.getOptions({ excluded }));
                const isUsable = (name: string) => !excluded.has(name) && fixture.states.get(name)?.state === "serving";
                const isHeld = (layer: number) =>
                    [...fixture.states.values()].some(({ endpoint, layers }) =>
                        isUsable(endpoint) && layers.some(range => range.start <= layer && layer < range.end)
                    );
                const missing = Array.from({ length: layers }, (_, layer) => layer).find(layer => !isHeld(layer));
                if (result.err) {
                    assert.equal(result.val.missingLayer, missing);
                    assert.match(result.val.message, /Load the layer/);
                    return;
                }
                assert.equal(missing, undefined);
                let next = 0;
                for (const stage of result.val.stages) {
                    const held = fixture.states.get(stage.endpoint)?.layers[0];
                    assert.ok(isUsable(stage.endpoint));
                    assert.equal(stage.layerStart, next);
                    assert.ok(stage.layerEnd > next);
                    assert.ok(held && held.start <= stage.layerStart && stage.layerEnd <= held.end);
                    next = stage.layerEnd;
                }
                assert.equal(next, layers);
            }),
            { seed: 20_261, numRuns: 500 },
        );
    });

    it("uses layers that an endpoint reports later", () => {
        const fixture = ChainFixture.create(layers, [{ start: 0, end: 12 }, { start: 0, end: 12 }]);
        const chooser = fixture.createChooser();
        assert.ok(chooser.chooseChain(fixture.getOptions()).err);
        fixture.states.set("e1", {
            endpoint: "e1",
            state: "serving",
            layers: [{ model: "m", start: 12, end: layers }],
        });
        assert.ok(chooser.chooseChain(fixture.getOptions()).ok);
    });

    it("rejects an unknown model", () => {
        const fixture = ChainFixture.create(layers, [{ start: 0, end: layers }]);
        const result = fixture.createChooser().chooseChain(fixture.getOptions({ model: "other" }));
        assert.ok(result.err);
        assert.equal(result.val.missingLayer, 0);
    });

    it("prefers endpoints that are close, fast or preferred", () => {
        const all = { start: 0, end: layers };
        const doTest = (
            endpoints: Parameters<typeof ChainFixture.create>[1],
            expected: string,
            preferred: string[],
        ) => {
            const fixture = ChainFixture.create(layers, endpoints);
            const options = fixture.getOptions({ preferred: new Set(preferred) });
            const result = fixture.createChooser().chooseChain(options).unwrap();
            assert.deepEqual(result.stages.map(stage => stage.endpoint), [expected]);
        };
        doTest([{ ...all, dataCentre: "b", step: 0.5 }, { ...all, step: 0.5 }], "e1", []);
        doTest([{ ...all, step: 1 }, { ...all, step: 0.5 }], "e1", []);
        doTest([{ ...all, step: 0.5 }, { ...all, step: 0.5 }], "e1", ["e1"]);
    });

    it("prefers an endpoint that caches the prompt's prefix and avoids an endpoint that failed", () => {
        const fixture = ChainFixture.create(layers, [{ start: 0, end: layers, step: 1 }, {
            start: 0,
            end: layers,
            step: 1,
        }]);
        const chooser = fixture.createChooser();
        const choose = () =>
            chooser.chooseChain(fixture.getOptions({ positions: 2_000, prefixHash: "p" })).unwrap().stages[0]?.endpoint;
        chooser.observePrefix("e1", "p", true);
        assert.equal(choose(), "e1");
        chooser.observePrefix("e1", "p", false);
        chooser.observePrefix("e0", "p", true);
        assert.equal(choose(), "e0");
        chooser.observeFailure("e0");
        assert.equal(choose(), "e1");
    });

    it("does not make all nodes choose the same endpoint on the same stale report", () => {
        const endpoints = Array.from({ length: 32 }, () => ({ start: 0, end: layers, step: 1 }));
        const countLargest = (selectCandidates?: SelectCandidates) => {
            const fixture = ChainFixture.create(layers, endpoints);
            const counts = new Map<string, number>();
            for (let node = 0; node < 64; node++) {
                const chooser = fixture.createChooser(node, selectCandidates);
                fixture.now = 0;
                learnStepTimes(chooser, fixture);
                fixture.now = 10_000;
                for (const [index, endpoint] of [...fixture.states.keys()].entries()) {
                    const queue = index === 0 ? 0 : 5;
                    chooser.observeLoad({ endpoint, queue, sequences: 5, freePositions: 1e6, ageMilliseconds: 5_000 });
                }
                const chain = chooser.chooseChain(fixture.getOptions()).unwrap();
                const name = chain.stages[0]?.endpoint ?? "";
                counts.set(name, (counts.get(name) ?? 0) + 1);
            }
            return Math.max(...counts.values());
        };
        const largestCount = countLargest(holders => [...holders.records.keys()]);
        assert.equal(largestCount, 64);
        assert.ok(countLargest() <= 64 / 2);
    });
});

/** Reports the same step time for each endpoint until the chooser's estimates have little uncertainty. */
function learnStepTimes(chooser: EstimatedTimeChooser, fixture: ChainFixture): void {
    for (const endpoint of fixture.states.keys()) {
        for (let pass = 0; pass < 100; pass++) {
            chooser.observePass({ endpoint, layers, positions: 1, elapsedMilliseconds: layers, queue: 0 });
        }
    }
}
