import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { StoreProbe } from "../../../src/process/router/storeProbe.ts";
import { FakeClock } from "../../support/fakeClock.ts";

describe("StoreProbe", () => {
    it("detects within a second that the store no longer answers, and that it answers again", async () => {
        const clock = FakeClock.create();
        let isAnswering = true;
        const probe = StoreProbe.create({ intervalMilliseconds: 450, clock, callStore: async () => isAnswering });
        probe.setActive(true);
        await clock.advance(1_000);
        assert.ok(probe.isStoreReachable());
        const lastAnswer = probe.getLastAnswer();
        isAnswering = false;
        await clock.advance(1_000);
        assert.ok(!probe.isStoreReachable());
        assert.ok(probe.getLastAnswer() <= lastAnswer + 450);
        assert.ok(probe.getLastFailure() >= 2_000 - 450, `last failure at ${probe.getLastFailure()}`);
        isAnswering = true;
        await clock.advance(1_000);
        assert.ok(probe.isStoreReachable());
        probe.setActive(false);
    });

    it("makes one call at a time, even if it is stopped and started while one is in flight", async () => {
        const clock = FakeClock.create();
        let open = 0;
        let most = 0;
        let calls = 0;
        const callStore = async () => {
            calls += 1;
            open += 1;
            most = Math.max(most, open);
            await new Promise<void>(resolve => clock.setTimer(300, resolve));
            open -= 1;
            return true;
        };
        const probe = StoreProbe.create({ intervalMilliseconds: 450, clock, callStore });
        for (let count = 0; count < 5; count += 1) {
            probe.setActive(true);
            await clock.advance(10);
            probe.setActive(false);
        }
        probe.setActive(true);
        await clock.advance(3_000);
        assert.equal(most, 1);
        assert.ok(calls <= 6, `It made ${calls} calls.`);
        probe.setActive(false);
    });
});
