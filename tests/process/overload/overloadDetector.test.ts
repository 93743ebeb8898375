import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { OverloadDetector } from "../../../src/process/overload/overloadDetector.ts";
import { OverloadStep } from "../../../src/process/overload/overloadStep.ts";

const updateIntervalMilliseconds = 100;

/** Updates a detector with one lag for some time, and lists the changes of the last step. */
function feed(detector: OverloadDetector, lag: number, from: number, duration: number): (OverloadStep | undefined)[] {
    const changes: (OverloadStep | undefined)[] = [];
    for (let now = from; now < from + duration; now += updateIntervalMilliseconds) {
        if (detector.update(lag, now)) {
            changes.push(detector.getLastStep());
        }
    }
    return changes;
}

describe("OverloadDetector", () => {
    it("takes the steps in their order, each one only while it is still needed", () => {
        const { ReduceBackground, RefuseLowestRank, LeaveRotation } = OverloadStep;
        const all = [ReduceBackground, RefuseLowestRank, LeaveRotation];
        assert.deepEqual(feed(OverloadDetector.create(), 3_000, 0, 5_000), all);
        assert.deepEqual(feed(OverloadDetector.create(), 600, 0, 5_000), all.slice(0, 2));
        assert.deepEqual(feed(OverloadDetector.create(), 120, 0, 5_000), all.slice(0, 1));
        const detector = OverloadDetector.create();
        feed(detector, 600, 0, 5_000);
        assert.ok(detector.has(RefuseLowestRank) && !detector.has(LeaveRotation));
        assert.deepEqual(feed(detector, 0, 5_000, 10_000), [ReduceBackground, undefined]);
    });

    it("takes no step for a node on time or after a single long task", () => {
        assert.deepEqual(feed(OverloadDetector.create(), 99, 0, 60_000), []);
        const detector = OverloadDetector.create();
        for (let now = 0; now < 60_000; now += 2_000) {
            assert.deepEqual(feed(detector, 5_000, now, 400), []);
            assert.deepEqual(feed(detector, 0, now + 400, 1_600), []);
        }
    });

    it("doesn't change back and forth while the lag varies around a threshold", () => {
        const detector = OverloadDetector.create();
        feed(detector, 500, 0, 2_000);
        for (let now = 2_000; now < 60_000; now += 1_000) {
            assert.deepEqual(feed(detector, 300, now, 500), []);
            assert.deepEqual(feed(detector, 900, now + 500, 500), []);
        }
    });
});
