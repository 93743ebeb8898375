import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { getUrgency } from "../../../../src/request/admission/ranks/getUrgency.ts";

describe("getUrgency", () => {
    // Guards against engines that read the prompts of the last rank before those of the first.
    it("puts the rank before everything else, and requests on time before late ones of their rank", () => {
        const ranks = [0, 1, 2];
        const urgencies = ranks.flatMap(rank => [getUrgency(rank, ranks, true), getUrgency(rank, ranks, false)]);
        assert.deepEqual(urgencies, [0, 1, 2, 3, 4, 5]);
    });

    it("stays between 0 and 9 in the order of any number of ranks", () => {
        const ranks = Array.from({ length: 23 }, (_, index) => 3 * index);
        const urgencies = ranks.map(rank => getUrgency(rank, ranks, false)!);
        assert.deepEqual(urgencies, urgencies.toSorted((left, right) => left - right));
        assert.deepEqual([urgencies[0], urgencies.at(-1)], [1, 9]);
    });

    // Guards against a header that changes how endpoints serve a deployment without ranks.
    it("is undefined where a service has one rank", () => {
        assert.equal(getUrgency(7, [7], true), undefined);
        assert.equal(getUrgency(7, [], false), undefined);
    });
});
