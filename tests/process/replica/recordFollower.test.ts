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
