import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { computeAvailableMemory } from "../../../../src/request/relay/endpoints/computeAvailableMemory.ts";

const memory = { own: 0, ownPeak: 0, others: 0, total: 1_000, share: 0.1 };

describe("computeAvailableMemory", () => {
    it("returns all but a margin of an empty endpoint's memory", () => {
        const availableMemory = computeAvailableMemory(memory);
        assert.ok(availableMemory > 900 && availableMemory <= 1_000);
    });

    it("returns only the memory that the node's own requests have released if the endpoint is full", () => {
        const full = { ...memory, ownPeak: 200, others: 850 };
        assert.equal(computeAvailableMemory({ ...full, own: 200 }), 0);
        assert.equal(computeAvailableMemory({ ...full, own: 150 }), 50);
    });

    it("is negative by the node's share of the excess if too much memory is reserved", () => {
        const availableMemory = computeAvailableMemory({ ...memory, own: 200, ownPeak: 200, others: 1_050 });
        assert.ok(Math.abs(availableMemory + 20) < 1e-9);
    });

    it("keeps all nodes together within the endpoint's memory, if each uses its available memory on the same information", () => {
        const nodeParts = fc.array(fc.integer({ min: 1, max: 100 }), { minLength: 2, maxLength: 9 });
        const filledPart = fc.double({ min: 1, max: 1.2, noNaN: true });
        fc.assert(fc.property(nodeParts, filledPart, (parts, part) => {
            const scale = 1_000 * part / parts.reduce((total, load) => total + load, 0);
            let filled = 0;
            for (const nodePart of parts) {
                const own = nodePart * scale;
                const others = 1_000 * part - own;
                const availableMemory = computeAvailableMemory({
                    own,
                    ownPeak: own,
                    others,
                    total: 1_000,
                    share: 1 / parts.length,
                });
                filled += own + availableMemory;
            }
            assert.ok(filled <= 1_050 + 1e-6);
        }));
    });
});
