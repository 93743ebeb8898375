import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LeaseState } from "../../../src/process/leases/leaseState.ts";
import { Ok } from "../../../src/result.ts";

describe("LeaseState", () => {
    it("is no longer held at the very time that it names as its end", () => {
        const sentAt = 96.14285714285714;
        const timeToLiveMilliseconds = 4_000;
        const state = LeaseState.create({
            random: () => 0.5,
            holder: "node-1",
            timeToLiveMilliseconds,
            longestOrderMilliseconds: 1_000,
        });
        const time = (monotonic: number) => ({ monotonic, wall: 0 });
        state.wake(time(sentAt));
        state.finishRead(Ok(undefined), time(sentAt));
        state.finishSwap(Ok({ swapped: true, revision: 1 }), time(sentAt + 1));
        assert.notEqual(state.getFencingNumber(sentAt + 1), undefined);
        assert.equal(state.getFencingNumber(sentAt + timeToLiveMilliseconds), undefined);
    });
});
