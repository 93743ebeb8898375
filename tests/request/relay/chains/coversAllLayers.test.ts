import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { chooseStages } from "../../../../src/request/relay/chains/chooseStages.ts";
import { coversAllLayers } from "../../../../src/request/relay/chains/coversAllLayers.ts";
import { createCandidate, relayModel, stageQuery } from "../relayModel.ts";

describe("coversAllLayers", () => {
    it("finds gaps at the start, in the middle and at the end", () => {
        const check = (...ranges: [number, number][]) =>
            coversAllLayers(ranges.map(([start, end]) => ({ start, end })), 80);
        assert.ok(check([40, 80], [0, 50]));
        assert.ok(!check());
        assert.ok(!check([1, 80]));
        assert.ok(!check([0, 40], [41, 80]));
        assert.ok(!check([0, 40], [30, 79]));
    });

    // Guards against refusals of requests that have a chain, and against searches that the check should have avoided.
    it("agrees with the search of a chain, whichever layers endpoints hold", () => {
        const range = fc.tuple(fc.integer({ min: 0, max: 79 }), fc.integer({ min: 1, max: 80 }));
        fc.assert(
            fc.property(fc.array(range, { maxLength: 24 }), ranges => {
                const candidates = ranges.filter(([start, end]) => start < end)
                    .map(([start, end], index) => createCandidate(String(index), start, end));
                const stages = chooseStages({ ...stageQuery, mayOvercommit: true }, candidates, () => 0);
                const isCovered = coversAllLayers(candidates.map(({ layers }) => layers), relayModel.layers);
                assert.equal(stages !== undefined, isCovered);
            }),
            { numRuns: 500 },
        );
    });
});
