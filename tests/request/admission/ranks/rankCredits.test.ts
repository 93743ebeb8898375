import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RankCredits } from "../../../../src/request/admission/ranks/rankCredits.ts";

function countStarts(credits: RankCredits, arrivalCount: number, share: number) {
    let startCount = 0;
    for (let index = 0; index < arrivalCount; index++) {
        credits.add("2", 1_000, share);
        if (credits.hasCredit("2")) {
            credits.take("2", 1_000);
            startCount += 1;
        }
    }
    return startCount;
}

describe("RankCredits", () => {
    // Guards against admission at random, with which a node with few requests is inexact for seconds.
    it("admits the exact share of a few requests", () => {
        assert.equal(countStarts(RankCredits.create(), 10, 0.3), 3);
        assert.equal(countStarts(RankCredits.create(), 8, 0.25), 2);
    });

    it("saves up credit for 3 requests at most, and pays off a debt of as many", () => {
        const credits = RankCredits.create();
        for (let index = 0; index < 50; index++) {
            credits.add("2", 1_000, 1);
        }
        assert.equal(countStarts(credits, 3, 0), 3);
        for (let index = 0; index < 50; index++) {
            credits.take("2", 1_000);
        }
        assert.equal(countStarts(credits, 4, 1), 1);
    });
});
