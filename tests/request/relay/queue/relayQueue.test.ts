import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { QueuedRelay } from "../../../../src/request/relay/queue/queuedRelay.ts";
import { RelayQueue } from "../../../../src/request/relay/queue/relayQueue.ts";
import { FakeClock } from "../../../support/fakeClock.ts";
import { RecordingEventLog } from "../../../support/recordingEventLog.ts";

const unusedLinks = {
    noteEvent: () => undefined,
    noteOtherCause: () => undefined,
    isQueued: () => false,
    end: () => undefined,
    refund: () => undefined,
};

function createBench() {
    const clock = FakeClock.create();
    const log: string[] = [];
    const waits: number[][] = [];
    const queue = RelayQueue.create({
        clock,
        random: () => 0.5,
        log: RecordingEventLog.create(),
        onWaited: (...wait) => waits.push(wait),
    });
    const capacity = { free: 0 };
    const submit = (name: string, rank = 1, capacityClass?: string): QueuedRelay => {
        const now = clock.getMonotonicTime();
        const relay: QueuedRelay = {
            requestId: name,
            rank,
            customer: undefined,
            cost: 1,
            latestOnTimeStart: now + 300,
            latestStart: now + 1_000,
            maximumRetryMilliseconds: 1_000,
            getCapacityClass: () => capacityClass,
            isServable: () => true,
            getPauseRetryMilliseconds: () => undefined,
            getLimitRetryMilliseconds: () => undefined,
            tryReserve: () => {
                if (capacity.free === 0) {
                    return undefined;
                }
                capacity.free -= 1;
                return { stages: [], isRetry: false, reservation: { release: () => undefined, links: unusedLinks } };
            },
            start: () => log.push(`start ${name}`),
            refuse: () => log.push(`refuse ${name}`),
        };
        queue.submit(relay);
        return relay;
    };
    return { clock, queue, log, waits, capacity, submit };
}

describe("RelayQueue", () => {
    it("starts requests by rank as soon as it is notified of free capacity", async () => {
        const { clock, queue, log, capacity, submit } = createBench();
        submit("first");
        submit("urgent", 0);
        capacity.free = 1;
        queue.wake();
        await clock.advance(1);
        assert.deepEqual(log, ["start urgent"]);
    });

    // Guards against arrivals that are queued by outdated knowledge when nothing waits at the time of the notification.
    it("starts a request that arrives right after it was notified of free capacity", async () => {
        const { clock, queue, log, capacity, submit } = createBench();
        queue.remove(submit("first", 1, "model"));
        capacity.free = 1;
        queue.wake();
        submit("second", 1, "model");
        await clock.advance(0);
        assert.deepEqual(log, ["start second"]);
    });

    it("finds capacity that became free without a notification", async () => {
        const { clock, log, waits, capacity, submit } = createBench();
        submit("first");
        await clock.advance(10);
        capacity.free = 1;
        await clock.advance(60);
        assert.deepEqual(log, ["start first"]);
        assert.deepEqual(waits, [[50, 0]]);
    });

    it("rejects a request when its wait ends, but not one that was removed", async () => {
        const { clock, queue, log, submit } = createBench();
        submit("first");
        queue.remove(submit("second"));
        assert.ok(queue.isContended());
        await clock.advance(1_100);
        assert.deepEqual(log, ["refuse first"]);
        await clock.advance(10_000);
        assert.ok(!queue.isContended());
    });
});
