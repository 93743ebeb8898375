import assert from "node:assert/strict";
import { EventEmitter, once } from "node:events";
import { describe, it } from "node:test";
import type { EtcdStore } from "../../../src/process/platform/etcdStore.ts";
import { type PlatformError, PlatformErrorKind } from "../../../src/process/platform/platformError.ts";
import type { StoredValue } from "../../../src/process/platform/platformStore.ts";
import { createStoreFixture } from "./createStoreFixture.ts";

/** Watches a key and records the calls of the callbacks. */
function recordWatch(store: EtcdStore, key: string, fromRevision: number) {
    const values: StoredValue[] = [];
    const closings: PlatformError[] = [];
    const changes = new EventEmitter();
    const handle = store.watch(key, fromRevision, {
        onValue: value => {
            values.push(value);
            changes.emit("change");
        },
        onClosed: reason => {
            closings.push(reason);
            changes.emit("change");
        },
    });
    const waitUntil = async (condition: () => boolean) => {
        while (!condition()) {
            await once(changes, "change");
        }
    };
    return {
        handle,
        values,
        closings,
        waitForValues: (count: number) => waitUntil(() => values.length >= count),
        waitForClosing: () => waitUntil(() => closings.length > 0),
    };
}

describe("EtcdWatch", () => {
    it("reports only the past and future changes of its key", async context => {
        const { store, standin } = await createStoreFixture(context);
        const first = (await store.compareAndSwap("key", 0, "first")).unwrap();
        const watch = recordWatch(store, "key", first.revision ?? 0);
        await watch.waitForValues(1);
        await store.compareAndSwap("key2", 0, "other");
        const second = (await store.compareAndSwap("key", first.revision ?? 0, "second")).unwrap();
        await watch.waitForValues(2);
        assert.deepEqual(watch.values, [
            { key: "key", value: "first", revision: first.revision },
            { key: "key", value: "second", revision: second.revision },
        ]);
        assert.deepEqual({ watch: standin.getCounts().watch, open: standin.getCounts().openWatches }, {
            watch: 1,
            open: 1,
        });
    });

    it("reports once that it has closed when the service goes down", async context => {
        const { store, standin } = await createStoreFixture(context);
        await store.compareAndSwap("key", 0, "value");
        const watch = recordWatch(store, "key", 1);
        await watch.waitForValues(1);
        standin.setFaults({ down: true });
        await watch.waitForClosing();
        assert.deepEqual(watch.closings.map(({ kind }) => kind), [PlatformErrorKind.NotDone]);
        const refused = recordWatch(store, "key", 1);
        await refused.waitForClosing();
        standin.setFaults({ down: false });
        const renewed = recordWatch(store, "key", 1);
        await renewed.waitForValues(1);
        assert.equal(renewed.values[0]?.value, "value");
    });

    it("reports that it has closed when its connection stops responding, and a new one works", async context => {
        const { store, standin, storeClock } = await createStoreFixture(context);
        const first = (await store.compareAndSwap("key", 0, "first")).unwrap();
        const watch = recordWatch(store, "key", 1);
        await watch.waitForValues(1);
        standin.setFaults({ silenceOpenConnections: true });
        storeClock.advance(5_000);
        await watch.waitForClosing();
        assert.equal((await store.compareAndSwap("key", first.revision ?? 0, "second")).unwrap().swapped, true);
        const renewed = recordWatch(store, "key", (first.revision ?? 0) + 1);
        await renewed.waitForValues(1);
        assert.deepEqual([watch.values.length, watch.closings.length, renewed.values[0]?.value], [1, 1, "second"]);
    });

    it("reports that it has closed when its key is deleted", async context => {
        const { store, platformClock } = await createStoreFixture(context);
        const leaseId = (await store.grantLease(1_000)).unwrap();
        await store.compareAndSwap("key", 0, "value", leaseId);
        const watch = recordWatch(store, "key", 1);
        await watch.waitForValues(1);
        platformClock.advance(1_000);
        await watch.waitForClosing();
        assert.match(watch.closings[0]?.message ?? "", /deleted/);
    });

    it("reports that it has closed when the service was restored to a revision below its first one", async context => {
        const { store, standin } = await createStoreFixture(context);
        standin.takeSnapshot();
        const written = (await store.compareAndSwap("key", 0, "value")).unwrap();
        standin.setFaults({ restoreOlder: true });
        const watch = recordWatch(store, "key", (written.revision ?? 0) + 1);
        await watch.waitForClosing();
        assert.match(watch.closings[0]?.message ?? "", /restored/);
    });

    it("reports that it has closed when its first revision was compacted", async context => {
        const { store } = await createStoreFixture(context);
        let revision = 0;
        for (let count = 0; count < 1_002; count++) {
            revision = (await store.compareAndSwap("key", revision, "value")).unwrap().revision ?? 0;
        }
        const watch = recordWatch(store, "key", 2);
        await watch.waitForClosing();
        assert.match(watch.closings[0]?.message ?? "", /canceled/);
    });

    it("reports nothing after it was closed", async context => {
        const { store } = await createStoreFixture(context);
        const first = (await store.compareAndSwap("key", 0, "first")).unwrap();
        const closed = recordWatch(store, "key", 1);
        const open = recordWatch(store, "key", 1);
        await Promise.all([closed.waitForValues(1), open.waitForValues(1)]);
        closed.handle.close();
        await store.compareAndSwap("key", first.revision ?? 0, "second");
        await open.waitForValues(2);
        assert.deepEqual([closed.values.length, closed.closings.length], [1, 0]);
    });
});
