import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { checkClaimKey } from "../../../src/process/claims/checkClaimKey.ts";
import { ClaimRing } from "../../../src/process/claims/claimRing.ts";
import { createClaimKey } from "../../../src/process/claims/createClaimKey.ts";
import { getRingSize } from "../../../src/process/claims/getRingSize.ts";
import { GrantLedger } from "../../../src/process/claims/grantLedger.ts";
import { ShardHash } from "../../../src/process/claims/shardHash.ts";
import { InvariantError } from "../../../src/process/invariantError.ts";
import { createTestKey } from "./createTestKey.ts";

const now = 1_700_000_000_000;
const windowMilliseconds = 60_000;

describe("checkClaimKey", () => {
    function doTest(key: string, expected: string | number): void {
        const check = checkClaimKey(key, now, windowMilliseconds);
        assert.equal(check.ok ? check.val : check.val.kind, expected);
    }

    it("accepts keys within the window and the tolerance", () => {
        for (const issuedAt of [now, now - windowMilliseconds, now + 60_000]) {
            doTest(createTestKey(issuedAt), issuedAt);
        }
    });

    it("refuses other keys with the matching error kind", () => {
        doTest(createTestKey(now - windowMilliseconds - 1), "tooOld");
        doTest(createTestKey(now + 60_001), "inFuture");
        doTest(createTestKey(now).toUpperCase(), "malformed");
        doTest("north/0b7e1c7e-3d56-4d7c-9d5c-3a1f5f0f9e11", "malformed");
        doTest(createTestKey(now).slice("north/".length), "malformed");
    });
});

describe("createClaimKey", () => {
    it("creates the same key for a UUID in upper and lower case", () => {
        const uuid = createTestKey(now).slice("north/".length);
        assert.equal(createClaimKey("north", uuid.toUpperCase()), createClaimKey("north", uuid));
    });
});

describe("getRingSize", () => {
    it("covers the window, the future tolerance and the clock margin", () => {
        assert.ok(getRingSize(600_000, 20) * 20 > 600_000 + 60_000 + 60_000);
    });
});

describe("ShardHash", () => {
    it("distributes keys over all shards, consistently across instances", async () => {
        const [first, second] = [await ShardHash.create(), await ShardHash.create()];
        const shards = new Set<number>();
        for (let index = 0; index < 200; index++) {
            const key = createTestKey(now + index);
            assert.equal(first.getShardOfKey(key, 8), second.getShardOfKey(key, 8));
            shards.add(first.getShardOfKey(key, 8));
        }
        assert.equal(shards.size, 8);
    });
});

describe("ClaimRing", () => {
    it("drops expired claims and refuses their keys if the wall clock steps back", () => {
        const ring = ClaimRing.create({ size: 4, windowMilliseconds });
        const claim = { key: createTestKey(now), bodyHash: "", claimant: "x", nodeId: "" };
        ring.applyBatch(0, 1, { number: 0, batchId: "", writtenAt: now, horizon: -1, claims: [claim] });
        ring.dropExpired(now + windowMilliseconds + 60_000);
        assert.equal(ring.getClaimCount(), 1);
        ring.dropExpired(now + windowMilliseconds + 60_001);
        assert.equal(ring.getClaimCount(), 0);
        assert.ok(ring.isBelowHorizon(now));
        assert.ok(!ring.isBelowHorizon(now + 1));
    });
});

describe("GrantLedger", () => {
    it("throws if a key is granted to a second claimant during the retention", () => {
        const ledger = GrantLedger.create({ retentionMilliseconds: 10 });
        ledger.record("key", "x", 0);
        ledger.record("key", "x", 1);
        assert.throws(() => ledger.record("key", "y", 9), InvariantError);
        ledger.record("key", "y", 10);
    });
});
