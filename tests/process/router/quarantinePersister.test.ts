import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { QuarantinePersister } from "../../../src/process/router/quarantinePersister.ts";
import { RequestQuarantine } from "../../../src/request/relay/quarantine/requestQuarantine.ts";
import { FakeClock } from "../../support/fakeClock.ts";
import { MemoryStore } from "../../support/memoryStore.ts";
import { RecordingEventLog } from "../../support/recordingEventLog.ts";

const key = "quarantine";

function createNode(store: MemoryStore, clock: FakeClock) {
    const log = RecordingEventLog.create();
    const quarantine = RequestQuarantine.create({ log, getAliveTime: () => -Infinity });
    const calls = { stale: 0 };
    const getStale = (requestedKey: string) => {
        calls.stale += 1;
        return store.get(requestedKey);
    };
    const compareAndSwap = store.compareAndSwap.bind(store);
    const get = store.get.bind(store);
    const persister = QuarantinePersister.create({
        store: { get, getStale, compareAndSwap },
        key,
        quarantine,
        clock,
        log,
    });
    const hold = (fingerprint: string) => {
        for (const endpointId of ["1", "2"]) {
            quarantine.noteCrash({ fingerprint, endpointId, at: clock.getMonotonicTime() }, "request");
        }
        persister.save();
    };
    const getRemaining = (fingerprint: string) =>
        quarantine.getHold(fingerprint, clock.getMonotonicTime())?.remainingMilliseconds;
    return { persister, quarantine, hold, getRemaining, calls };
}

/** Starts a node, and gives it the time to read the record. */
async function startNode(store: MemoryStore, clock: FakeClock) {
    const node = createNode(store, clock);
    node.persister.start();
    await clock.advance(10);
    return node;
}

describe("QuarantinePersister", () => {
    it("loads what other nodes quarantined, for the remaining time, when a node starts", async () => {
        const store = MemoryStore.create();
        const clock = FakeClock.create();
        const first = createNode(store, clock);
        first.hold("harmful");
        await clock.advance(20_000);
        const second = await startNode(store, clock);
        assert.equal(second.getRemaining("harmful"), 39_990);
    });

    it("saves what several nodes quarantine at the same time", async () => {
        const store = MemoryStore.create();
        const clock = FakeClock.create();
        createNode(store, clock).hold("a");
        createNode(store, clock).hold("b");
        await clock.advance(5_000);
        const later = await startNode(store, clock);
        assert.ok(later.getRemaining("a") !== undefined);
        assert.ok(later.getRemaining("b") !== undefined);
    });

    it("retries if the store is down or a response is lost", async () => {
        const store = MemoryStore.create();
        const clock = FakeClock.create();
        const first = createNode(store, clock);
        store.setDown(true);
        first.hold("harmful");
        await clock.advance(3_000);
        store.setDown(false);
        store.loseAnswers(1);
        await clock.advance(10_000);
        const second = await startNode(store, clock);
        assert.ok(second.getRemaining("harmful") !== undefined);
    });

    it("makes one cheap call at start, and no others while nothing is quarantined", async () => {
        const store = MemoryStore.create();
        const clock = FakeClock.create();
        const { persister, calls } = createNode(store, clock);
        persister.start();
        await clock.advance(60_000);
        assert.equal(calls.stale, 1);
        assert.equal(store.getCallCount("get"), 1);
        assert.equal(store.getCallCount("compareAndSwap"), 0);
    });

    it("overwrites an invalid record", async () => {
        const store = MemoryStore.create();
        const clock = FakeClock.create();
        await store.compareAndSwap(key, 0, "{");
        createNode(store, clock).hold("harmful");
        await clock.advance(1_000);
        const later = await startNode(store, clock);
        assert.ok(later.getRemaining("harmful") !== undefined);
    });

    it("saves what was quarantined again after the store was restored from an older snapshot without it", async () => {
        const store = MemoryStore.create();
        const clock = FakeClock.create();
        const copy = store.takeSnapshot();
        const first = createNode(store, clock);
        first.hold("harmful");
        await clock.advance(100);
        store.restore(copy);
        first.persister.handleStoreRestored();
        await clock.advance(1_000);
        const second = await startNode(store, clock);
        assert.ok(second.getRemaining("harmful") !== undefined);
    });

    it("doesn't write what the store already has", async () => {
        const store = MemoryStore.create();
        const clock = FakeClock.create();
        const [first, second] = [createNode(store, clock), createNode(store, clock)];
        first.hold("harmful");
        await clock.advance(1_000);
        const callCount = store.getCallCount("compareAndSwap");
        second.hold("harmful");
        await clock.advance(1_000);
        assert.equal(store.getCallCount("compareAndSwap"), callCount);
    });

    it("writes a canary's crash that the store has as another request's, and a later crash of the same endpoint", async () => {
        const store = MemoryStore.create();
        const clock = FakeClock.create();
        const nodes = [createNode(store, clock), createNode(store, clock), createNode(store, clock)];
        const countWrites = async ({ persister, quarantine }: typeof nodes[number], canaryKeys: string[]) => {
            const before = store.getCallCount("compareAndSwap");
            const at = clock.getMonotonicTime();
            for (const endpointId of ["1", "2"]) {
                const run = { fingerprint: endpointId, endpointId, at, partKeys: ["pbad"], canaryKeys };
                quarantine.noteCrash(run, "request");
            }
            persister.save();
            await clock.advance(1_000);
            return store.getCallCount("compareAndSwap") - before;
        };
        assert.equal(await countWrites(nodes[0]!, []), 1);
        assert.equal(await countWrites(nodes[1]!, ["pbad"]), 1);
        await clock.advance(20_000);
        assert.equal(await countWrites(nodes[2]!, []), 1);
    });
});
