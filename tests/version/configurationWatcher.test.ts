import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { StoredValue } from "../../src/process/platform/platformStore.ts";
import { ConfigurationFollower } from "../../src/version/configurationFollower.ts";
import { ConfigurationWatcher } from "../../src/version/configurationWatcher.ts";
import { restoreStoredConfiguration } from "../../src/version/restoreStoredConfiguration.ts";
import { StoredConfiguration } from "../../src/version/storedConfiguration.ts";
import { FakeClock } from "../support/fakeClock.ts";
import { MemoryStore } from "../support/memoryStore.ts";
import { RecordingEventLog } from "../support/recordingEventLog.ts";

describe("ConfigurationWatcher", () => {
    function encode(version: number, text = "{}"): string {
        const edit = { editId: `edit-${version}`, author: "ana", appliedAt: 0, earlierEdits: [] };
        return StoredConfiguration.encode({ version, text, ...edit });
    }

    function put(store: MemoryStore, version: number, text?: string) {
        return store.put(StoredConfiguration.key, encode(version, text));
    }

    function setUp(isWatching: boolean, beforeCall?: () => Promise<void>) {
        const clock = FakeClock.create();
        const store = MemoryStore.create({ beforeCall });
        const follower = ConfigurationFollower.create();
        const eventLog = RecordingEventLog.create();
        const behind: (StoredValue | undefined)[] = [];
        const onStoreBehind = (stored: StoredValue | undefined) => void behind.push(stored);
        const common = { store, follower, clock, random: () => 0.5, eventLog };
        const options = { ...common, getCheckIntervalMilliseconds: () => 30_000, onStoreBehind };
        const watcher = ConfigurationWatcher.create(options);
        watcher.setWatching(isWatching);
        watcher.start();
        return { clock, store, follower, watcher, behind, numbers: eventLog.numbers };
    }

    it("reads at the start and then periodically without a watch", async () => {
        const { clock, store, follower, watcher } = setUp(false);
        await clock.advance(10);
        assert.equal(follower.getVersion(), 0);
        assert.equal(watcher.getLastContact(), 0);
        put(store, 1);
        await clock.advance(29_000);
        assert.equal(follower.getVersion(), 0);
        await clock.advance(1_000);
        assert.equal(follower.getVersion(), 1);
        assert.equal(watcher.getLastContact(), 30_000);
        assert.equal(store.getCallCount("watch"), 0);
    });

    it("follows the watch and ignores its stale events", async () => {
        const { clock, store, follower, numbers } = setUp(true);
        await clock.advance(10);
        const stale = put(store, 1);
        put(store, 2);
        assert.equal(follower.getVersion(), 2);
        store.emit(stale);
        assert.equal(follower.getVersion(), 2);
        assert.deepEqual(numbers, [1201, 1201]);
    });

    it("writes the version in force back to a store that was restored with an older one", async () => {
        const { clock, store, follower, watcher, behind } = setUp(true);
        await clock.advance(10);
        put(store, 1);
        const snapshot = store.takeSnapshot();
        put(store, 2);
        store.restore(snapshot);
        await clock.advance(40_000);
        const held = follower.getCurrent();
        assert.ok(held !== undefined && behind.length > 0);
        const stored = behind.at(-1);
        put(store, 1, "{ }");
        const overtaken = await restoreStoredConfiguration({ store, current: held, stored, wallTime: 0 });
        assert.equal(overtaken.unwrap().swapped, false);
        const current = store.peek(StoredConfiguration.key);
        const restored = await restoreStoredConfiguration({ store, current: held, stored: current, wallTime: 0 });
        assert.equal(restored.unwrap().swapped, true);
        assert.equal(StoredConfiguration.decode(store.peek(StoredConfiguration.key)?.value ?? "").unwrap().version, 2);
        watcher.stop();
    });

    it("watches only while asked to", async () => {
        const { clock, store, watcher } = setUp(false);
        await clock.advance(10);
        watcher.setWatching(true);
        await clock.advance(10);
        assert.equal(store.getWatchCount(), 1);
        watcher.setWatching(false);
        assert.equal(store.getWatchCount(), 0);
    });

    it("replaces a watch that stopped reporting changes", async () => {
        const { clock, store, follower } = setUp(true);
        await clock.advance(10);
        store.silenceWatches();
        put(store, 1);
        await clock.advance(30_000);
        assert.equal(follower.getVersion(), 1);
        put(store, 2);
        assert.equal(follower.getVersion(), 2);
    });

    it("backs off while the store is down, then reads and watches again", async () => {
        const { clock, store, follower, watcher, numbers } = setUp(true);
        put(store, 1);
        await clock.advance(10);
        store.setDown(true);
        await clock.advance(300_000);
        assert.ok(store.getCallCount() < 60, `${store.getCallCount()} calls`);
        assert.equal(watcher.getLastContact(), 0);
        assert.equal(follower.getVersion(), 1);
        store.setDown(false);
        put(store, 2);
        await clock.advance(10_000);
        assert.equal(follower.getVersion(), 2);
        assert.equal(store.getWatchCount(), 1);
        assert.deepEqual(numbers, [1201, 1208, 1206, 1207, 1201]);
    });

    it("keeps the version in force when the store was restored with an older value, and logs it once", async () => {
        const { clock, store, follower, numbers } = setUp(true);
        put(store, 1);
        await clock.advance(10);
        const snapshot = store.takeSnapshot();
        put(store, 2);
        store.restore(snapshot);
        await clock.advance(200_000);
        assert.equal(follower.getVersion(), 2);
        assert.deepEqual(numbers, [1201, 1201, 1204]);
        put(store, 3);
        assert.equal(follower.getVersion(), 3);
    });

    it("keeps the version in force when it reads an invalid text or value, and logs each once", async () => {
        const { clock, store, follower, numbers } = setUp(true);
        put(store, 1);
        await clock.advance(10);
        put(store, 2, "{");
        await clock.advance(100_000);
        store.put(StoredConfiguration.key, "junk");
        await clock.advance(100_000);
        assert.equal(follower.getVersion(), 1);
        assert.deepEqual(numbers, [1201, 1202, 1205]);
    });

    it("reads again when a read times out, and still accepts its late response", async () => {
        const pendingCalls: (() => void)[] = [];
        const { clock, store, follower, numbers } = setUp(
            false,
            () => new Promise(resolve => void pendingCalls.push(resolve)),
        );
        put(store, 1);
        await clock.advance(6_000);
        assert.deepEqual(numbers, [1206]);
        assert.equal(pendingCalls.length, 2);
        pendingCalls[0]?.();
        await clock.advance(0);
        assert.equal(follower.getVersion(), 1);
    });

    it("does nothing after it was stopped", async () => {
        const { clock, store, follower, watcher } = setUp(true);
        await clock.advance(10);
        watcher.stop();
        put(store, 1);
        await clock.advance(300_000);
        assert.equal(follower.getVersion(), 0);
        assert.equal(store.getWatchCount(), 0);
        assert.equal(store.getCallCount("get"), 1);
    });
});
