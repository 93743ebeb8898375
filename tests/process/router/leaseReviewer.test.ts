import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LeaseAction } from "../../../src/process/placement/leaseAction.ts";
import { LeaseReviewer } from "../../../src/process/router/leaseReviewer.ts";
import { RecordingEventLog } from "../../support/recordingEventLog.ts";

describe("LeaseReviewer", () => {
    /** Gets the calls by which a node that no longer watches the store handles the lease. */
    function review(action: LeaseAction, isLastHolder: boolean, isStoreAnswering: boolean): string[] {
        const calls: string[] = [];
        const reviewer = LeaseReviewer.create({
            nodeId: "own",
            owners: { getOwners: (_key, nodes) => [...nodes] },
            lease: {
                isLastHolder: () => isLastHolder,
                start: () => calls.push("start"),
                pause: () => calls.push("pause"),
                keep: () => calls.push("keep"),
                refresh: () => calls.push("refresh"),
                rest: () => calls.push("rest"),
            },
            log: RecordingEventLog.create(),
            isDraining: () => false,
            getLeaseAction: () => action,
            getLag: () => 0,
        });
        reviewer.review({ others: [], isWatcher: false, isStoreAnswering, hasManyNodes: true, hasPeers: true });
        return calls;
    }

    // Guards against a holder that renews the lease as long as it runs, because it was replaced as a watcher while it had orders.
    it("releases the lease of a node that no longer watches the store as soon as it has no orders", () => {
        assert.deepEqual(review(LeaseAction.Acquire, true, true), ["pause"]);
        assert.deepEqual(review(LeaseAction.Keep, true, true), ["rest"]);
        assert.deepEqual(review(LeaseAction.Release, true, true), ["rest"]);
    });

    it("makes no calls to the store on a node that is neither a watcher nor the holder, or that the store refuses", () => {
        assert.deepEqual(review(LeaseAction.Release, false, true), ["pause"]);
        assert.deepEqual(review(LeaseAction.Release, true, false), ["pause"]);
    });
});
