import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LeaseState } from "../../../src/process/leases/leaseState.ts";
import { EraRevision } from "../../../src/process/replica/eraRevision.ts";
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

    // Guards against calls without a pause that use up the store's rate, if the store refuses each write.
    it("waits before it is tried again if the store refuses the revision that it names itself", () => {
        const state = createSuccessor();
        const taken = state.wake({ monotonic: 4_000, wall: 0 });
        assert.ok(taken.call?.kind === "swap");
        const current = { key: "lease", value: "{}", revision: taken.call.expectedRevision };
        const record = { holder: "node-1", fencingNumber: 7, writeId: "node-1-1", isReleased: true };
        const value = JSON.stringify({
            ...record,
            timeToLiveMilliseconds: 3_000,
            longestOrderMilliseconds: 300,
            expiresHint: 0,
        });
        const refused = state.finishSwap(Ok({ swapped: false, current: { ...current, value } }), {
            monotonic: 4_010,
            wall: 0,
        });
        assert.equal(refused.call, undefined);
        assert.ok(refused.wakeAt !== undefined && refused.wakeAt >= 4_300, `It wakes at ${refused.wakeAt}.`);
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

    describe("of a store that was restored from an older snapshot", () => {
        const timeToLiveMilliseconds = 3_000;
        const longestOrderMilliseconds = 300;
        const time = (monotonic: number) => ({ monotonic, wall: 0 });

        /** Creates a process that read the lease at time 0, when its key was absent. */
        function start() {
            const store = { era: 1 };
            const state = LeaseState.create({
                random: () => 0.5,
                holder: "node-1",
                timeToLiveMilliseconds,
                longestOrderMilliseconds,
                getStoreEra: () => store.era,
            });
            state.wake(time(0));
            return { store, state, read: state.finishRead(Ok(undefined), time(0)) };
        }

        function getFencingNumber(call: ReturnType<LeaseState["wake"]>["call"]): number {
            assert.equal(call?.kind, "swap");
            return (JSON.parse(call.value) as { fencingNumber: number; }).fencingNumber;
        }

        // The copy did not have the record of the last holder, so its number was given out again.
        it("gives out no fencing number twice", () => {
            const first = start();
            const earlier = getFencingNumber(first.read.call);
            const second = start();
            second.store.era = 2;
            second.state.wake(time(10));
            second.state.finishRead(Ok(undefined), time(20));
            const later = getFencingNumber(second.state.wake(time(5_000)).call);
            assert.ok(later > earlier, `${later} after ${earlier}`);
        });

        it("is not held by its holder until it is acquired again, with a higher number", () => {
            const { store, state, read } = start();
            state.finishSwap(Ok({ swapped: true, revision: 1 }), time(10));
            assert.equal(state.getFencingNumber(20), getFencingNumber(read.call));
            store.era = 2;
            assert.equal(state.wake(time(30)).call?.kind, "read");
            assert.equal(state.getFencingNumber(40), undefined);
            const again = state.finishRead(Ok(undefined), time(50));
            assert.ok(getFencingNumber(again.call) > getFencingNumber(read.call));
        });

        it("is acquired by another process only after the time to live of an earlier holder", () => {
            const { store, state } = start();
            state.finishSwap(Ok({ swapped: false, current: undefined }), time(10));
            store.era = 2;
            state.wake(time(1_000));
            state.finishRead(Ok(undefined), time(1_010));
            assert.equal(state.wake(time(1_000 + timeToLiveMilliseconds)).call, undefined);
            const end = 1_000 + (timeToLiveMilliseconds + longestOrderMilliseconds) * 1.1;
            assert.equal(state.wake(time(end)).call?.kind, "swap");
        });

        it("ignores a release notice of before", () => {
            const { store, state } = start();
            state.finishSwap(Ok({ swapped: false, current: undefined }), time(10));
            store.era = 2;
            state.wake(time(1_000));
            state.finishRead(Ok(undefined), time(1_010));
            const notice = { revision: EraRevision.create(1, 90), fencingNumber: 1_000_004 };
            assert.equal(state.noteRelease(notice, time(1_020)).call, undefined);
            assert.equal(state.wake(time(2_000)).call, undefined);
        });
    });
});
