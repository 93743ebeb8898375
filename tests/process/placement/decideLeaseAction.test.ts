import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { decideLeaseAction } from "../../../src/process/placement/decideLeaseAction.ts";
import { LeaseAction } from "../../../src/process/placement/leaseAction.ts";

describe("decideLeaseAction", () => {
    const work = { isHolder: false, workSince: 1_000, lastWorkAt: 1_000 };

    // All candidates acquired the lease in turn for the same work.
    it("lets one node acquire the lease at once, and the others only if the work is still there later", () => {
        const getAction = (rank: number, now: number) => decideLeaseAction({ ...work, rank, now });
        assert.equal(getAction(0, 1_000), LeaseAction.Acquire);
        assert.equal(getAction(1, 2_400), LeaseAction.Await);
        assert.equal(getAction(1, 2_500), LeaseAction.Acquire);
        assert.equal(getAction(8, 3_900), LeaseAction.Await);
        assert.equal(getAction(8, 4_000), LeaseAction.Acquire);
    });

    it("lets the holder go on whatever its rank", () => {
        assert.equal(decideLeaseAction({ ...work, isHolder: true, rank: 2, now: 1_000 }), LeaseAction.Acquire);
    });
});
