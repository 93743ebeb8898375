import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { findRankInversions, type RankedCall } from "../../scripts/soak/router/findRankInversions.ts";
import { RankFloor } from "../../src/request/admission/ranks/rankFloor.ts";

const node = "node-0";
/** The first refusal of the first rank, and the time from which requests of the last rank count. */
const refusedAt = 10_000;
const from = refusedAt + 3_000;

/** Creates the refusals of the first rank, which go on for a while after the time from which the last rank counts. */
function createRefused(): RankedCall[] {
    return Array.from({ length: 21 }, (_, index) => {
        const sentAt = refusedAt + index * 500;
        return { id: `first-${index}`, rank: 0, node, sentAt, endedAt: sentAt, isRefused: true, isAdmitted: false };
    });
}

function createLast(sentAt: number, isAdmitted: boolean): RankedCall {
    return { id: `last-${sentAt}`, rank: 2, node, sentAt, endedAt: sentAt, isRefused: !isAdmitted, isAdmitted };
}

describe("findRankInversions", () => {
    // The floor saves up one request while memory is full, and the check counted as if it never did.
    it("allows what the floor admits, with the credit for one request from before, and no request more", () => {
        for (const arrivalsBefore of [0, 5, 20, 60]) {
            const floor = RankFloor.create();
            const calls = createRefused();
            for (let index = 0; index < arrivalsBefore; index++) {
                floor.observeArrival("last", 900);
                calls.push(createLast(from - 1_000 + index, false));
            }
            for (let index = 0; index < 30; index++) {
                floor.observeArrival("last", 900);
                const isAdmitted = floor.hasCredit("last");
                if (isAdmitted) {
                    floor.observeStart("last", 900);
                }
                calls.push(createLast(from + index, isAdmitted));
            }
            assert.deepEqual(findRankInversions(calls), []);
            const withOneMore = [...calls, createLast(from + 30, true)];
            assert.equal(findRankInversions(withOneMore).length, 1, `${arrivalsBefore} arrivals before`);
        }
    });

    it("allows no credit from before at a node that has used it up", () => {
        const calls = [
            ...createRefused(),
            ...Array.from({ length: 60 }, (_, index) => createLast(from - 1_000 + index, index >= 58)),
            ...Array.from({ length: 20 }, (_, index) => createLast(from + index, index < 2)),
        ];
        assert.deepEqual(findRankInversions(calls).map(({ maximumAdmitted }) => maximumAdmitted), [1]);
    });

    it("finds no inversion while the first rank is refused for no longer than nodes need to hear of each other", () => {
        const calls = [...createRefused().slice(0, 6), createLast(from, true), createLast(from + 1, true)];
        assert.deepEqual(findRankInversions(calls), []);
    });
});
