import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Result } from "../../src/result.ts";
import type { AppliedConfiguration } from "../../src/version/appliedConfiguration.ts";
import { applyConfiguration } from "../../src/version/applyConfiguration.ts";
import type { ApplyError } from "../../src/version/applyError.ts";
import { ApplyErrorKind } from "../../src/version/applyErrorKind.ts";
import { ConfigurationHistory } from "../../src/version/configurationHistory.ts";
import { StoredConfiguration } from "../../src/version/storedConfiguration.ts";
import { FakeClock } from "../support/fakeClock.ts";
import { MemoryStore } from "../support/memoryStore.ts";

describe("applyConfiguration", () => {
    async function apply(
        store: MemoryStore,
        expectedVersion: number,
        editId: string,
        overrides: { text?: string; highestKnownVersion?: number; } = {},
    ): Promise<Result<AppliedConfiguration, ApplyError>> {
        const clock = FakeClock.create();
        const options = {
            store,
            clock,
            random: () => 0.5,
            text: "{}",
            author: "ana",
            expectedVersion,
            editId,
            ...overrides,
        };
        const applying = applyConfiguration(options);
        await clock.advance(60_000);
        return applying;
    }

    function readStored(store: MemoryStore, key: string = StoredConfiguration.key): StoredConfiguration {
        return StoredConfiguration.decode(store.peek(key)?.value ?? "").unwrap();
    }

    it("writes the next version and keeps the history", async () => {
        const store = MemoryStore.create();
        assert.deepEqual((await apply(store, 0, "x")).val, { version: 1, isReplaced: false });
        assert.deepEqual((await apply(store, 1, "y")).val, { version: 2, isReplaced: false });
        assert.equal(readStored(store).editId, "y");
        assert.equal(readStored(store, ConfigurationHistory.getKey(1)).editId, "x");
    });

    it("rejects an invalid text without a call", async () => {
        const store = MemoryStore.create();
        const applied = await apply(store, 0, "x", { text: "{" });
        assert.equal(applied.err && applied.val.kind, ApplyErrorKind.InvalidText);
        assert.equal(applied.err && applied.val.faults?.length, 1);
        assert.equal(store.getCallCount(), 0);
    });

    it("rejects a change of the claim log's parameters", async () => {
        const store = MemoryStore.create();
        await apply(store, 0, "x");
        const applied = await apply(store, 1, "y", { text: `{ "claims": { "shards": 5 } }` });
        assert.equal(applied.err && applied.val.kind, ApplyErrorKind.ClaimParametersChanged);
        assert.equal(readStored(store).version, 1);
    });

    it("rejects a value that is too large for the store", async () => {
        const applied = await apply(MemoryStore.create(), 0, "x", { text: `{}${"\n".repeat(600_000)}` });
        assert.equal(applied.err && applied.val.kind, ApplyErrorKind.TooLarge);
    });

    it("rejects an edit based on an older version and names the remedy", async () => {
        const store = MemoryStore.create();
        await apply(store, 0, "x");
        const applied = await apply(store, 0, "y");
        assert.ok(applied.err && applied.val.kind === ApplyErrorKind.LostRace);
        assert.equal(applied.val.currentVersion, 1);
        assert.match(applied.val.message, /Fetch the current text/);
        assert.equal(readStored(store).editId, "x");
    });

    it("lets one of several concurrent operators succeed, in every order of the calls and with lost responses", async () => {
        await fc.assert(
            fc.asyncProperty(fc.scheduler(), fc.nat(2), fc.nat(2), async (scheduler, answers, requests) => {
                const store = MemoryStore.create({ beforeCall: () => scheduler.schedule(Promise.resolve()) });
                store.loseAnswers(answers);
                store.loseRequests(requests);
                const setTimer = (_delay: number, callback: () => void) => {
                    void scheduler.schedule(Promise.resolve()).then(callback);
                    return { cancel: () => undefined };
                };
                const clock = { getWallTime: () => 0, getMonotonicTime: () => 0, setTimer };
                const options = { store, clock, random: () => 0.5, text: "{}", author: "ana", expectedVersion: 0 };
                const results = Promise.all(["x", "y", "z"].map(editId => applyConfiguration({ ...options, editId })));
                await scheduler.waitFor(results);
                const winners = (await results).filter(result => result.ok);
                const losers = (await results).filter(result => result.err && result.val.kind === "lostRace");
                assert.equal(winners.length, 1);
                assert.equal(losers.length, 2);
                assert.equal(readStored(store).version, 1);
            }),
            { seed: 20_262, numRuns: 200 },
        );
    });

    it("recognises its edit after a lost response and writes it once", async () => {
        const store = createWithFaultAtSwap(target => target.loseAnswers(1));
        assert.deepEqual((await apply(store, 0, "x")).val, { version: 1, isReplaced: false });
        assert.equal(store.peek(StoredConfiguration.key)?.revision, 1);
    });

    it("retries the compare-and-swap after a lost request", async () => {
        const store = createWithFaultAtSwap(target => target.loseRequests(1));
        assert.deepEqual((await apply(store, 0, "x")).val, { version: 1, isReplaced: false });
    });

    it("recognizes an edit that took effect and was replaced", async () => {
        const store = MemoryStore.create();
        await apply(store, 0, "x");
        await apply(store, 1, "y");
        assert.deepEqual((await apply(store, 0, "x")).val, { version: 1, isReplaced: true });
    });

    it("reports whether anything may have been written when the store stays down", async () => {
        const down = MemoryStore.create();
        down.setDown(true);
        const refused = await apply(down, 0, "x");
        assert.equal(refused.err && refused.val.kind, ApplyErrorKind.StoreUnavailable);

        let isFailing = true;
        const store: MemoryStore = MemoryStore.create({
            beforeCall: method => {
                if (isFailing && method === "compareAndSwap") {
                    store.loseAnswers(1);
                }
                else if (isFailing && store.getCallCount("compareAndSwap") > 0) {
                    store.setDown(true);
                }
            },
        });
        const unknown = await apply(store, 0, "x");
        assert.equal(unknown.err && unknown.val.kind, ApplyErrorKind.OutcomeUnknown);
        isFailing = false;
        store.setDown(false);
        assert.deepEqual((await apply(store, 0, "x")).val, { version: 1, isReplaced: false });
    });

    it("uses a version above the highest known one when the store was restored with an older value", async () => {
        const store = MemoryStore.create();
        await apply(store, 0, "x");
        assert.deepEqual((await apply(store, 1, "y", { highestKnownVersion: 7 })).val, {
            version: 8,
            isReplaced: false,
        });
    });

    it("does not overwrite an invalid stored value", async () => {
        const store = MemoryStore.create();
        store.put(StoredConfiguration.key, "junk");
        const applied = await apply(store, 0, "x");
        assert.equal(applied.err && applied.val.kind, ApplyErrorKind.InvalidStoredValue);
        assert.equal(store.peek(StoredConfiguration.key)?.value, "junk");
    });

    /** Creates a store with a fault on the first compare-and-swap. */
    function createWithFaultAtSwap(fault: (store: MemoryStore) => void): MemoryStore {
        const store: MemoryStore = MemoryStore.create({
            beforeCall: method => {
                if (method === "compareAndSwap" && store.getCallCount("compareAndSwap") === 1) {
                    fault(store);
                }
            },
        });
        return store;
    }
});
