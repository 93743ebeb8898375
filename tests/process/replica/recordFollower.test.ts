import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RecordFollower } from "../../../src/process/replica/recordFollower.ts";
import { RecordSection } from "../../../src/process/replica/recordSection.ts";
import { CountedStore } from "../../support/countedStore.ts";
import { FakeClock } from "../../support/fakeClock.ts";
import { RecordingEventLog } from "../../support/recordingEventLog.ts";

describe("RecordFollower", () => {
    function start(isStoreAnswering: () => boolean, confirmationMilliseconds = Infinity) {
        const clock = FakeClock.create();
        const store = new CountedStore();
        const section = RecordSection.create({ name: "s", onChange: () => undefined });
        const follower = RecordFollower.create({
            store,
            section,
            prefix: "s/",
            isStoreAnswering,
            callStore: () => {
                store.probes += 1;
                return Promise.resolve(!store.isSilent);
            },
            onMissedChanges: () => undefined,
            clock,
            random: () => 0.5,
            log: RecordingEventLog.create(),
        });
        follower.start();
        const confirm = () => {
            void follower.confirm();
            clock.setTimer(confirmationMilliseconds, confirm);
        };
        clock.setTimer(confirmationMilliseconds, confirm);
        return { clock, store, follower };
    }

    async function advance(clock: FakeClock, milliseconds: number): Promise<void> {
        for (let passed = 0; passed < milliseconds; passed += 10) {
            await clock.advance(10);
        }
    }

    it("makes no call after a failed one until the probe is answered, and then continues", async () => {
        let isAnswering = true;
        const { clock, store, follower } = start(() => isAnswering);
        await advance(clock, 2_000);
        store.isDown = true;
        await advance(clock, 1_000);
        isAnswering = false;
        await advance(clock, 1_000);
        const before = store.waits + store.reads;
        await advance(clock, 10_000);
        assert.equal(store.waits + store.reads, before);
        assert.equal(follower.isStoreReachable(), false);
        store.isDown = false;
        isAnswering = true;
        await advance(clock, 2_000);
        assert.equal(follower.isStoreReachable(), true);
    });

    // Guards against waiting on a lost call. While the store was unresponsive for 4.8 s, it lost the calls with which three nodes
    // started to wait for changes. Since no call failed, the nodes kept waiting after the store recovered. An endpoint announced
    // 2 s after the recovery that it was draining, and all nodes learned it only 11 s later, when the waits timed out.
    it("does not keep waiting on a call that an unresponsive store has lost", async () => {
        const { clock, store, follower } = start(() => !store.isSilent, 500);
        await advance(clock, 2_000);
        store.hasChanges = false;
        await advance(clock, 2_000);
        store.isSilent = true;
        store.endWaits();
        await advance(clock, 3_000);
        assert.equal(follower.isStoreReachable(), false);
        store.isSilent = false;
        store.hasChanges = true;
        const before = store.waits;
        await advance(clock, 1_000);
        assert.ok(store.waits > before, "It has not asked again.");
        assert.equal(follower.isStoreReachable(), true);
    });

    // The store lost a wait long after its start and answered every other call.
    it("replaces a wait that did not return changes which another call returned", async () => {
        const { clock, store, follower } = start(() => true, 500);
        store.hasChanges = false;
        await advance(clock, 5_000);
        assert.equal(store.waits, 1);
        store.loseWaits();
        store.hasChanges = true;
        await advance(clock, 1_000);
        assert.ok(store.waits > 1, "It has not replaced the wait.");
        assert.ok(clock.getMonotonicTime() - follower.getConfirmedTime() <= 500);
    });

    it("confirms a long wait by one call each time, and makes no cheap call while that is answered", async () => {
        const { clock, store } = start(() => true, 500);
        await advance(clock, 4_000);
        const before = store.confirmations;
        store.hasChanges = false;
        await advance(clock, 10_000);
        assert.equal(store.probes, 0);
        assert.equal(store.confirmations - before, 20);
    });

    it("increases the delay between calls only after many consecutive calls with changes", async () => {
        const { clock, store } = start(() => true);
        await advance(clock, 1_500);
        assert.ok(store.waits >= 5, `${store.waits} calls at first`);
        await advance(clock, 2_500);
        const before = store.waits;
        await advance(clock, 12_000);
        assert.ok(store.waits - before >= 19 && store.waits - before <= 21, `${store.waits - before} calls`);
    });
});
