import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { ChainAttempt } from "../../../src/request/model/chainAttempt.ts";
import { ParkedAttempt } from "../../../src/request/model/parkedAttempt.ts";

const parkedAt = 10_000;

function createParked(): ParkedAttempt {
    const stages = [{ endpoint: "first", layerStart: 0, layerEnd: 4 }, {
        endpoint: "silent",
        layerStart: 4,
        layerEnd: 8,
    }];
    return ParkedAttempt.create({ chain: { stages } } as unknown as ChainAttempt, "silent", parkedAt);
}

// Guards against freeing the memory of an attempt that may go on for one that may be refused.
describe("ParkedAttempt", () => {
    for (
        const [name, hasEnded, ageMilliseconds, isKept] of [
            ["is kept and continued while its engine may go on", false, 2_999, true],
            ["gives way if its engine stays silent", false, 3_000, false],
            ["gives way at once if the process of its engine has ended", true, 0, false],
        ] as const
    ) {
        it(name, () => {
            const parked = createParked();
            assert.equal(parked.isDueToContinue(), false);
            assert.equal(parked.keepDespiteRefusal(hasEnded, parkedAt + ageMilliseconds), isKept);
            assert.equal(parked.isDueToContinue(), isKept);
        });
    }

    it("counts its time from the first failure, and is continued once a refusal", () => {
        const parked = createParked();
        parked.keepDespiteRefusal(false, parkedAt + 1_000);
        parked.observeFailure("first");
        assert.equal(parked.getEndpoint(), "first");
        assert.equal(parked.isDueToContinue(), false);
        assert.equal(parked.getAge(parkedAt + 2_000), 2_000);
        assert.ok(parked.hasEndpoint("silent") && !parked.hasEndpoint("other"));
    });
});
