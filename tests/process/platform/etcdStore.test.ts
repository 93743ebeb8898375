import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EtcdStore } from "../../../src/process/platform/etcdStore.ts";
import { PlatformErrorKind } from "../../../src/process/platform/platformError.ts";
import { PlatformStandin } from "../../../standins/platform/platformStandin.ts";
import { createStoreFixture } from "./createStoreFixture.ts";

describe("EtcdStore", () => {
    describe("compareAndSwap", () => {
        it("lets one of several concurrent writers succeed and returns its value to the others", async context => {
            const { store } = await createStoreFixture(context);
            const created = (await store.compareAndSwap("key", 0, "first")).unwrap();
            const names = ["a", "b", "c", "d", "e", "f", "g", "h"];
            const races = await Promise.all(
                names.map(name => store.compareAndSwap("key", created.revision ?? 0, name)),
            );
            const outcomes = races.map(race => race.unwrap());
            const stored = (await store.get("key")).unwrap();
            assert.equal(outcomes.filter(outcome => outcome.swapped).length, 1);
            assert.equal(stored?.value, names[outcomes.findIndex(outcome => outcome.swapped)]);
            assert.equal(stored?.revision, outcomes.find(outcome => outcome.swapped)?.revision);
            for (const outcome of outcomes.filter(({ swapped }) => !swapped)) {
                assert.deepEqual(outcome.current, stored);
            }
        });

        it("treats revision 0 as a missing key and returns no value for one if another revision was expected", async context => {
            const { store } = await createStoreFixture(context);
            assert.deepEqual((await store.compareAndSwap("key", 7, "value")).unwrap(), {
                swapped: false,
                current: undefined,
            });
            assert.equal((await store.compareAndSwap("key", 0, "ñandú")).unwrap().swapped, true);
            assert.equal((await store.compareAndSwap("key", 0, "again")).unwrap().current?.value, "ñandú");
        });

        it("reports an unknown outcome if the response is lost after the write", async context => {
            const { store, standin } = await createStoreFixture(context);
            standin.setFaults({ loseAnswers: 1 });
            const lost = await store.compareAndSwap("key", 0, "value");
            assert.equal(lost.err && lost.val.kind, PlatformErrorKind.OutcomeUnknown);
            assert.equal((await store.get("key")).unwrap()?.value, "value");
        });

        it("rejects a value over one megabyte without a call, as the service does", async context => {
            const { store, standin } = await createStoreFixture(context);
            const refused = await store.compareAndSwap("key", 0, "é".repeat(500_001));
            assert.equal(refused.err && refused.val.kind, PlatformErrorKind.NotDone);
            assert.equal(standin.getCounts().transaction, 0);
            assert.equal((await store.compareAndSwap("key", 0, "é".repeat(500_000))).unwrap().swapped, true);
            const put = { key: "YQ==", value: Buffer.alloc(1_000_001).toString("base64") };
            const response = await fetch(`http://${standin.getAddress()}/v3/kv/txn`, {
                method: "POST",
                body: JSON.stringify({ success: [{ request_put: put }] }),
            });
            assert.equal(response.status, 400);
        });

        it("is not done if the rate limit rejects it", async context => {
            const { store, standin, platformClock } = await createStoreFixture(context, { writesPerSecond: 1 });
            assert.equal((await store.compareAndSwap("key", 0, "one")).ok, true);
            const refused = await store.compareAndSwap("other", 0, "two");
            assert.equal(refused.err && refused.val.kind, PlatformErrorKind.NotDone);
            assert.equal((await store.get("other")).unwrap(), undefined);
            assert.equal(standin.getCounts().rateLimited, 1);
            platformClock.advance(1_000);
            assert.equal((await store.compareAndSwap("other", 0, "two")).ok, true);
        });

        it("is not done if no connection can be opened", async () => {
            const standin = await PlatformStandin.create({ port: 0 });
            const address = standin.getAddress();
            await standin.close();
            const store = EtcdStore.create({ address, timeoutMilliseconds: 10_000 });
            const refused = await store.compareAndSwap("key", 0, "value");
            assert.equal(refused.err && refused.val.kind, PlatformErrorKind.NotDone);
            await store.close();
        });

        it("reports an unknown outcome if the connection breaks, and not done for a read", async context => {
            const { store, standin } = await createStoreFixture(context);
            standin.setFaults({ down: true });
            const write = await store.compareAndSwap("key", 0, "value");
            const read = await store.get("key");
            assert.equal(write.err && write.val.kind, PlatformErrorKind.OutcomeUnknown);
            assert.equal(read.err && read.val.kind, PlatformErrorKind.NotDone);
            standin.setFaults({ down: false });
            assert.equal((await store.get("key")).unwrap(), undefined);
        });
    });

    describe("timeouts", () => {
        for (const fault of ["hang", "silenceOpenConnections"] as const) {
            it(`uses a new connection after the old one stopped responding because of ${fault}`, async context => {
                const { store, standin, storeClock } = await createStoreFixture(context);
                assert.equal((await store.get("key")).ok, true);
                assert.equal((await Promise.all([store.get("key"), store.get("key")])).every(read => read.ok), true);
                standin.setFaults({ [fault]: true });
                const write = store.compareAndSwap("key", 0, "value");
                storeClock.advance(100);
                const outcome = await write;
                assert.equal(outcome.err && outcome.val.kind, PlatformErrorKind.OutcomeUnknown);
                standin.setFaults({ hang: false });
                const later = await Promise.all([store.get("key"), store.get("key"), store.get("key")]);
                assert.deepEqual(later.map(read => read.unwrap()), [undefined, undefined, undefined]);
            });
        }

        it("times out a read whose response is delayed, as not done", async context => {
            const { store, standin, storeClock } = await createStoreFixture(context);
            standin.setFaults({ delayMilliseconds: 1_000 });
            const read = store.get("key");
            storeClock.advance(100);
            const outcome = await read;
            assert.equal(outcome.err && outcome.val.kind, PlatformErrorKind.NotDone);
        });
    });

    describe("list", () => {
        it("pages through the keys with the prefix, in order", async context => {
            const { store } = await createStoreFixture(context);
            for (const key of ["p/3", "p/1", "p/5", "o/1", "p/2", "q/1", "p/4", "p0"]) {
                await store.compareAndSwap(key, 0, `value of ${key}`);
            }
            const pages: string[][] = [];
            let fromKey: string | undefined;
            do {
                const page = (await store.list("p/", fromKey, 2)).unwrap();
                pages.push(page.values.map(value => value.key));
                fromKey = page.nextKey;
            }
            while (fromKey !== undefined);
            assert.deepEqual(pages, [["p/1", "p/2"], ["p/3", "p/4"], ["p/5"]]);
        });

        it("lists all keys if the prefix is empty", async context => {
            const { store } = await createStoreFixture(context);
            await store.compareAndSwap("ñ", 0, "value");
            assert.deepEqual((await store.list("", undefined, 10)).unwrap().values.map(({ key }) => key), ["ñ"]);
        });
    });

    describe("leases", () => {
        it("deletes the keys of an expired lease, but not those of a renewed one", async context => {
            const { store, platformClock } = await createStoreFixture(context);
            const lapsing = (await store.grantLease(1_500)).unwrap();
            const renewed = (await store.grantLease(1_500)).unwrap();
            await store.compareAndSwap("lapsing", 0, "value", lapsing);
            await store.compareAndSwap("renewed", 0, "value", renewed);
            platformClock.advance(1_999);
            assert.equal((await store.get("lapsing")).unwrap()?.value, "value");
            assert.equal((await store.renewLease(renewed)).unwrap(), true);
            platformClock.advance(1);
            assert.equal((await store.get("lapsing")).unwrap(), undefined);
            assert.equal((await store.get("renewed")).unwrap()?.value, "value");
            assert.equal((await store.renewLease(lapsing)).unwrap(), false);
        });

        it("rejects attaching a key to an expired lease", async context => {
            const { store, platformClock } = await createStoreFixture(context);
            const leaseId = (await store.grantLease(1_000)).unwrap();
            platformClock.advance(1_000);
            const refused = await store.compareAndSwap("key", 0, "value", leaseId);
            assert.equal(refused.err && refused.val.kind, PlatformErrorKind.NotDone);
        });

        it("deletes the keys of a revoked lease, and revokes it again without an error", async context => {
            const { store } = await createStoreFixture(context);
            const leaseId = (await store.grantLease(1_000)).unwrap();
            await store.compareAndSwap("key", 0, "value", leaseId);
            assert.equal((await store.revokeLease(leaseId)).ok, true);
            assert.equal((await store.get("key")).unwrap(), undefined);
            assert.equal((await store.revokeLease(leaseId)).ok, true);
        });
    });

    describe("restored service", () => {
        it("returns the older value and revision of a snapshot", async context => {
            const { store, standin } = await createStoreFixture(context);
            const older = (await store.compareAndSwap("key", 0, "older")).unwrap();
            standin.takeSnapshot();
            await store.compareAndSwap("key", older.revision ?? 0, "newer");
            standin.setFaults({ restoreOlder: true });
            const stored = (await store.get("key")).unwrap();
            assert.deepEqual(stored, { key: "key", value: "older", revision: older.revision });
        });
    });

    describe("close", () => {
        it("makes later calls fail as not done", async context => {
            const { store } = await createStoreFixture(context);
            await store.close();
            const outcome = await store.compareAndSwap("key", 0, "value");
            assert.equal(outcome.err && outcome.val.kind, PlatformErrorKind.NotDone);
        });
    });
});
