import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ClaimOutcome } from "../../../src/process/claims/claimOutcome.ts";
import { ClaimOwner, type ClaimOwnerOptions } from "../../../src/process/claims/claimOwner.ts";
import { claimStoreKeys } from "../../../src/process/claims/claimStoreKeys.ts";
import type { ClaimVerdict } from "../../../src/process/claims/claimVerdict.ts";
import type { Clock } from "../../../src/process/clock.ts";
import { FakeClock } from "../../support/fakeClock.ts";
import { MemoryStore } from "../../support/memoryStore.ts";
import { createTestKey } from "./createTestKey.ts";

const windowMilliseconds = 60_000;
/** Longer than a slot is kept. */
const longPause = 150_000;
const hour = 3_600_000;

function createFixture(beforeCall?: (store: MemoryStore, method: string) => void) {
    const clock = FakeClock.create();
    const store: MemoryStore = MemoryStore.create({ beforeCall: method => beforeCall?.(store, method) });
    let owners = 0;
    return {
        clock,
        store,
        createOwner: (options: Partial<ClaimOwnerOptions> = {}): ClaimOwner =>
            ClaimOwner.create({
                store,
                clock,
                log: { write: () => undefined },
                ownerId: `owner${owners++}`,
                shards: 1,
                getShardOfKey: () => 0,
                windowMilliseconds,
                appendIntervalMilliseconds: 20,
                giveUpMilliseconds: 1_000,
                ringSize: 3,
                pageSize: 1,
                ...options,
            }),
        createKey: (index = 0): string => createTestKey(clock.getWallTime(), index),
        claim: async (owner: ClaimOwner, key: string, claimant: string, bodyHash = "body"): Promise<ClaimVerdict> => {
            const verdicts = owner.claim(0, [{ key, bodyHash, claimant, nodeId: "node" }]);
            await clock.advance(1_100);
            const [verdict] = await verdicts;
            assert.ok(verdict);
            return verdict;
        },
    };
}

/** Creates a clock with a wall time that is off by the given offset. */
function createSkewedClock(clock: Clock, offsetMilliseconds: number): Clock {
    return {
        getMonotonicTime: () => clock.getMonotonicTime(),
        getWallTime: () => clock.getWallTime() + offsetMilliseconds,
        setTimer: (delay, callback) => clock.setTimer(delay, callback),
    };
}

describe("ClaimOwner", () => {
    // Guards against a stopped node that took over a shard of a peer which stopped too, and read it again and again.
    it("makes no calls for a shard that it is to own after it was closed", async () => {
        const calls: string[] = [];
        const { clock, createOwner, createKey, claim } = createFixture((_store, method) => calls.push(method));
        const owner = createOwner();
        owner.close();
        owner.loadShard(0);
        owner.refreshShard(0);
        assert.equal((await claim(owner, createKey(), "claimant")).outcome, ClaimOutcome.NotOwner);
        await clock.advance(longPause);
        assert.deepEqual(calls, []);
    });

    it("does not report a key as unclaimed before it has read the appends of the interim owner", async () => {
        const { clock, store, createOwner, createKey, claim } = createFixture();
        const [first, second] = [createOwner(), createOwner()];
        const [known, unseen] = [createKey(1), createKey(2)];
        await claim(first, createKey(0), "x");
        await claim(second, known, "y");
        first.refreshShard(0);
        await clock.advance(100);
        await claim(second, unseen, "yy");
        store.setDown(true);
        first.refreshShard(0);
        assert.equal((await claim(first, known, "z")).outcome, "taken");
        const verdict = await claim(first, unseen, "zz");
        assert.equal(verdict.outcome, "unavailable");
        assert.equal(verdict.isUnclaimed, undefined);
    });

    it("reads all appends of the interim owner after a refresh", async () => {
        const { clock, store, createOwner, createKey, claim } = createFixture();
        const [first, second] = [createOwner(), createOwner()];
        await claim(first, createKey(0), "x");
        const keys = [createKey(1), createKey(2)];
        for (const [index, key] of keys.entries()) {
            await claim(second, key, `y${index}`);
        }
        first.refreshShard(0);
        await clock.advance(500);
        store.setDown(true);
        for (const [index, key] of keys.entries()) {
            assert.equal((await claim(first, key, `z${index}`)).outcome, "taken");
        }
    });

    it("reports a key as unclaimed if the shard has been read and the store is down", async () => {
        const { store, createOwner, createKey, claim } = createFixture();
        const owner = createOwner();
        await claim(owner, createKey(0), "x");
        store.setDown(true);
        const verdict = await claim(owner, createKey(1), "x");
        assert.equal(verdict.outcome, "unavailable");
        assert.equal(verdict.isUnclaimed, true);
    });

    it("grants a key only to the first claimant, at each owner and on each retry", async () => {
        const { createOwner, createKey, claim } = createFixture();
        const [first, second] = [createOwner(), createOwner()];
        const key = createKey();
        assert.equal((await claim(first, key, "x")).outcome, "granted");
        for (const owner of [first, second]) {
            assert.equal((await claim(owner, key, "x")).outcome, "granted");
            assert.deepEqual(
                { ...await claim(owner, key, "y"), message: undefined },
                { outcome: "taken", claimant: "x", nodeId: "node", message: undefined },
            );
            assert.equal((await claim(owner, key, "z", "other body")).outcome, "body_mismatch");
        }
    });

    it("writes simultaneous claims in one append", async () => {
        const { clock, store, createOwner, createKey } = createFixture();
        const items = Array.from({ length: 100 }, (_, index) => ({
            key: createKey(index),
            bodyHash: "body",
            claimant: `claimant${index}`,
            nodeId: "node",
        }));
        const verdicts = createOwner().claim(0, items);
        await clock.advance(0);
        assert.ok((await verdicts).every(verdict => verdict.outcome === "granted"));
        assert.equal(store.getCallCount("compareAndSwap"), 1);
    });

    it("grants a key after a lost response, but not to another owner's claimant", async () => {
        const { store, createOwner, createKey, claim } = createFixture();
        const [first, second] = [createOwner(), createOwner()];
        await claim(first, createKey(1), "w");
        const key = createKey(2);
        store.loseAnswers(1);
        assert.equal((await claim(first, key, "x")).outcome, "granted");
        assert.equal((await claim(second, key, "y")).outcome, "taken");
    });

    it("refuses while the store is down and grants the key to the next claimant afterwards", async () => {
        const { store, createOwner, createKey, claim } = createFixture();
        const owner = createOwner();
        const key = createKey();
        store.setDown(true);
        assert.equal((await claim(owner, key, "x")).outcome, "unavailable");
        store.setDown(false);
        assert.equal((await claim(owner, key, "y")).outcome, "granted");
    });

    it("does not grant a key to others after an append with an unknown outcome", async () => {
        const { store, createOwner, createKey, claim } = createFixture();
        const owner = createOwner();
        await claim(owner, createKey(1), "w");
        const key = createKey(2);
        store.loseAnswers(1_000);
        assert.equal((await claim(owner, key, "x")).outcome, "unavailable");
        assert.equal((await claim(owner, key, "y")).outcome, "taken");
        store.loseAnswers(0);
        assert.equal((await claim(owner, key, "z")).outcome, "taken");
        assert.equal((await claim(owner, key, "x")).outcome, "unavailable");
        assert.equal((await claim(createOwner(), key, "v")).outcome, "taken");
    });

    it("grants a key to the next claimant after append requests were lost", async () => {
        const { store, createOwner, createKey, claim } = createFixture();
        const owner = createOwner();
        await claim(owner, createKey(1), "w");
        const key = createKey(2);
        store.loseRequests(1_000);
        assert.equal((await claim(owner, key, "x")).outcome, "unavailable");
        store.loseRequests(0);
        assert.equal((await claim(owner, key, "y")).outcome, "granted");
    });

    it("refuses new claims while the claims in the oldest slot have not expired", async () => {
        const { clock, createOwner, createKey, claim } = createFixture();
        const owner = createOwner();
        for (const index of [1, 2, 3]) {
            assert.equal((await claim(owner, createKey(index), "x")).outcome, "granted");
        }
        assert.equal((await claim(owner, createKey(4), "y")).outcome, "unavailable");
        await clock.advance(longPause);
        assert.equal((await claim(owner, createKey(5), "z")).outcome, "granted");
    });

    it("applies what was written while it was paused, also if the ring wrapped around", async () => {
        const { clock, createOwner, createKey, claim } = createFixture();
        const [paused, busy] = [createOwner(), createOwner()];
        await claim(paused, createKey(0), "w");
        await clock.advance(longPause);
        const keys = [1, 2, 3].map(createKey);
        for (const key of keys) {
            assert.equal((await claim(busy, key, "x")).outcome, "granted");
        }
        for (const key of keys) {
            assert.equal((await claim(paused, key, "y")).outcome, "taken");
        }
    });

    it("refuses an overwritten key even if clock skew exceeds the margin", async () => {
        const { clock, createOwner, createKey, claim } = createFixture();
        const ahead = createOwner({ clock: createSkewedClock(clock, hour) });
        const key = createTestKey(clock.getWallTime() + hour);
        assert.equal((await claim(ahead, key, "x")).outcome, "granted");
        const owner = createOwner();
        for (const index of [1, 2]) {
            assert.equal((await claim(owner, createKey(index), "w")).outcome, "granted");
        }
        await clock.advance(longPause);
        const later = createTestKey(clock.getWallTime() + hour, 3);
        assert.equal((await claim(ahead, later, "w")).outcome, "granted");
        const other = createOwner({ clock: createSkewedClock(clock, hour - longPause) });
        assert.equal((await claim(other, key, "y")).outcome, "too_old");
    });

    it("rereads a slot that was written during the listing", async () => {
        let listCount = 0;
        const { store, createOwner, createKey, claim } = createFixture((target, method) => {
            listCount += method === "list" ? 1 : 0;
            if (listCount === 2 && method === "list") {
                put(target, 3, createKey(3));
                put(target, 4, createKey(4));
            }
        });
        for (const number of [0, 1, 2]) {
            put(store, number, createKey(number));
        }
        assert.equal((await claim(createOwner(), createKey(3), "y")).outcome, "taken");
    });

    it("refuses claims if a slot is invalid or inconsistent", async () => {
        for (
            const value of [
                "x",
                "{}",
                JSON.stringify({ number: 4, batchId: "", writtenAt: 0, horizon: -1, claims: [] }),
            ]
        ) {
            const { store, createOwner, createKey, claim } = createFixture();
            store.put(claimStoreKeys.getSlotKey(0, 0), value);
            assert.equal((await claim(createOwner(), createKey(), "x")).outcome, "unavailable");
        }
    });

    it("resolves waiting claims to not owner when the shard is released", async () => {
        const { store, createOwner, createKey } = createFixture();
        const owner = createOwner();
        store.setDown(true);
        const verdicts = owner.claim(0, [{ key: createKey(), bodyHash: "body", claimant: "x", nodeId: "node" }]);
        owner.releaseShard(0);
        assert.equal((await verdicts)[0]?.outcome, "not_owner");
    });
});

function put(store: MemoryStore, number: number, key: string): void {
    const claims = [{ key, bodyHash: "body", claimant: "x", nodeId: "node" }];
    const batch = { number, batchId: `other-${number}`, writtenAt: 0, horizon: -1, claims };
    store.put(claimStoreKeys.getSlotKey(0, number % 3), JSON.stringify(batch));
}
