import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { FaultTimeline } from "../../scripts/soak/faultTimeline.ts";
import { LogTail } from "../../scripts/soak/logTail.ts";
import type { CallRecord } from "../../scripts/soak/router/callRecord.ts";
import { CallViolations } from "../../scripts/soak/router/callViolations.ts";
import { checkCallsBehind } from "../../scripts/soak/router/checkCallsBehind.ts";
import { RouterFaults } from "../../scripts/soak/router/routerFaults.ts";
import { Violations } from "../../scripts/soak/violations.ts";

const sentAt = 10_000;

describe("checkCallsBehind", () => {
    let timeline: FaultTimeline;

    beforeEach(() => {
        timeline = FaultTimeline.create();
    });

    /** Counts the violations of requests without an answer, each behind another one. */
    function count(changes: Partial<CallRecord>, { isForwarded = false, isAheadComplete = true, requests = 1 } = {}) {
        const base = { node: "node-0", sentAt, endedAt: sentAt + 300, leftAt: undefined, status: 0, reason: "closed" };
        const records = new Map<string, object>([["ahead", {
            ...base,
            id: "ahead",
            status: 200,
            isComplete: isAheadComplete,
        }]]);
        for (let index = 0; index < requests; index++) {
            const record = { ...base, id: `behind-${index}`, aheadId: "ahead", isComplete: false, ...changes };
            records.set(record.id, record);
        }
        const violations = Violations.create(timeline, LogTail.create(), () => undefined);
        checkCallsBehind({
            endpoints: [{ history: { hasReceived: () => isForwarded } }] as never,
            faults: RouterFaults.create(timeline),
            violations: CallViolations.create(violations),
            records: records as unknown as ReadonlyMap<string, CallRecord>,
        });
        return violations.getAll().length;
    }

    it("detects requests that get nothing, long after they were sent or though they were forwarded", () => {
        timeline.start("nodeStop", "node-0").from = sentAt;
        assert.equal(count({}), 1);
        assert.equal(count({ endedAt: sentAt + 100 }, { isForwarded: true }), 1);
    });

    it("accepts answers, refusals, callers that leave, and requests that cross the end of their connection", () => {
        assert.equal(count({ status: 503, isComplete: true }), 0);
        assert.equal(count({ leftAt: sentAt + 200 }), 0);
        assert.equal(count({ endedAt: sentAt + 100 }), 0);
        assert.equal(count({ aheadId: undefined }), 0);
    });

    it("accepts few forwarded requests whose connection ended because the answer ahead was cut", () => {
        const cutAhead = { isAheadComplete: false };
        assert.equal(count({}, { ...cutAhead, requests: 4 }), 0);
        assert.equal(count({}, { ...cutAhead, isForwarded: true, requests: 3 }), 0);
        assert.equal(count({}, { ...cutAhead, isForwarded: true, requests: 4 }), 1);
    });

    it("accepts the end of requests that a fault of the node explains", () => {
        Object.assign(timeline.start("nodeKill", "node-0"), { from: sentAt, to: sentAt + 100 });
        assert.equal(count({}), 0);
    });
});
