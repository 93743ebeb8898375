import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RecordFollower } from "../../../src/process/replica/recordFollower.ts";
import { RecordSection } from "../../../src/process/replica/recordSection.ts";
import { CountedStore } from "../../support/countedStore.ts";
import { FakeClock } from "../../support/fakeClock.ts";
import { RecordingEventLog } from "../../support/recordingEventLog.ts";

describe("RecordFollower", () => {
    function start(isStoreAnswering: () => boolean) {
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
            clock,
            random: () => 0.5,
            log: RecordingEventLog.create(),
        });
        follower.start();
        return { clock, store, follower };
    }

    async function pass(clock: FakeClock, milliseconds: number): Promise<void> {
        for (let passed = 0; passed < milliseconds; passed += 10) {
            await clock.advance(10);
        }
    }

    it("makes no call to a store that failed one before the probe is answered, and goes on then", async () => {
        let isAnswering = true;
        const { clock, store, follower } = start(() => isAnswering);
        await pass(clock, 2_000);
        store.isDown = true;
        await pass(clock, 1_000);
        isAnswering = false;
        await pass(clock, 1_000);
        const before = store.waits + store.reads;
        await pass(clock, 10_000);
        assert.equal(store.waits + store.reads, before);
        assert.equal(follower.isInContact(), false);
        store.isDown = false;
        isAnswering = true;
        await pass(clock, 2_000);
        assert.equal(follower.isInContact(), true);
    });

    // Seed 304 of the soak: the store was silent for 4.8 s and swallowed the calls in which three nodes began to wait for changes. Nobody
    // noticed when it was back: an endpoint said 2 s later that it leaves, and all nodes heard it 11 s after that (FL1102 and
    // FL1811 at 31.55 s), when the waits had run out. None of them had seen a failed call.
    it("doesn't go on waiting on a call that a silent store has swallowed", async () => {
        const { clock, store, follower } = start(() => !store.isSilent);
        await pass(clock, 2_000);
        store.hasChanges = false;
        await pass(clock, 2_000);
        store.isSilent = true;
        store.endWaits();
        await pass(clock, 3_000);
        assert.equal(follower.isInContact(), false);
        store.isSilent = false;
        store.hasChanges = true;
        const before = store.waits;
        await pass(clock, 1_000);
        assert.ok(store.waits > before, "It has not asked again.");
        assert.equal(follower.isInContact(), true);
    });

    it("makes one cheap call for a wait that is long, and none for one that brings changes at once", async () => {
        const { clock, store } = start(() => true);
        await pass(clock, 4_000);
        assert.equal(store.probes, 0);
        store.hasChanges = false;
        await pass(clock, 10_000);
        assert.equal(store.probes, 1);
    });

    it("waits longer between calls only where many in a row bring changes", async () => {
        const { clock, store } = start(() => true);
        await pass(clock, 1_500);
        assert.ok(store.waits >= 5, `${store.waits} calls at first`);
        await pass(clock, 2_500);
        const before = store.waits;
        await pass(clock, 12_000);
        assert.ok(store.waits - before >= 19 && store.waits - before <= 21, `${store.waits - before} calls`);
    });
});
