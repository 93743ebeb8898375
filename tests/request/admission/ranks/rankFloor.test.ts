import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RankFloor } from "../../../../src/request/admission/ranks/rankFloor.ts";

describe("RankFloor", () => {
    // Guards against a last rank that gets nothing while higher ranks could use all memory.
    it("lets one in twenty requests of a starved rank start", () => {
        const floor = RankFloor.create();
        let startCount = 0;
        for (let index = 0; index < 200; index++) {
            floor.observeArrival("2", 1_000);
            if (floor.hasCredit("2")) {
                floor.observeStart("2", 1_000);
                startCount += 1;
            }
        }
        assert.equal(startCount, 10);
    });

    it("gives nothing extra to a rank that is served, and helps it within 20 arrivals once it is not", () => {
        const floor = RankFloor.create();
        for (let index = 0; index < 200; index++) {
            floor.observeArrival("2", 1_000);
            floor.observeStart("2", 1_000);
        }
        assert.ok(!floor.hasCredit("2"));
        let arrivalCount = 0;
        while (!floor.hasCredit("2")) {
            floor.observeArrival("2", 1_000);
            arrivalCount += 1;
        }
        assert.ok(arrivalCount <= 21, `${arrivalCount}`);
    });
});
