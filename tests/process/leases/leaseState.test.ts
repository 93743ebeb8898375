import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LeaseState } from "../../../src/process/leases/leaseState.ts";
import { Ok } from "../../../src/result.ts";

describe("LeaseState", () => {
    it("is no longer held exactly at its expiry time", () => {
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

    /** Creates the state of a process that saw another holder at revision 5, at time 100. */
    function createSuccessor(): LeaseState {
        const options = { holder: "node-2", timeToLiveMilliseconds: 3_000, longestOrderMilliseconds: 300 };
        const state = LeaseState.create({ random: () => 0.5, ...options });
        const record = {
            holder: "node-1",
            fencingNumber: 7,
            writeId: "node-1-1",
            isReleased: false,
            timeToLiveMilliseconds: 3_000,
            longestOrderMilliseconds: 300,
            expiresHint: 0,
        };
        state.wake({ monotonic: 100, wall: 0 });
        state.finishRead(Ok({ key: "lease", value: JSON.stringify(record), revision: 5 }), { monotonic: 100, wall: 0 });
        return state;
    }

    it("is acquired soon after a release notice, with a higher number", () => {
        const state = createSuccessor();
        const output = state.noteRelease({ revision: 6, fencingNumber: 7 }, { monotonic: 200, wall: 0 });
        assert.ok(output.wakeAt !== undefined && output.wakeAt < 900, `It wakes at ${output.wakeAt}.`);
        const { call } = state.wake({ monotonic: output.wakeAt, wall: 0 });
        assert.ok(call?.kind === "swap");
        assert.equal(call.expectedRevision, 6);
        assert.equal((JSON.parse(call.value) as { fencingNumber: number; }).fencingNumber, 8);
    });

    it("ignores an older release notice", () => {
        const state = createSuccessor();
        const output = state.noteRelease({ revision: 4, fencingNumber: 6 }, { monotonic: 200, wall: 0 });
        assert.ok(output.wakeAt! > 3_000);
    });

    it("stays with its holder despite a release notice", () => {
        const state = createSuccessor();
        const taken = state.wake({ monotonic: 4_000, wall: 0 });
        assert.equal(taken.call?.kind, "swap");
        state.finishSwap(Ok({ swapped: true, revision: 6 }), { monotonic: 4_010, wall: 0 });
        state.noteRelease({ revision: 9, fencingNumber: 7 }, { monotonic: 4_020, wall: 0 });
        assert.equal(state.getFencingNumber(4_030), 8);
    });
});
