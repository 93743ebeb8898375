import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { FaultTimeline } from "../../scripts/soak/faultTimeline.ts";
import { LogTail } from "../../scripts/soak/logTail.ts";
import type { CallRecord } from "../../scripts/soak/router/callRecord.ts";
import { CallViolations } from "../../scripts/soak/router/callViolations.ts";
import { checkSilences } from "../../scripts/soak/router/checkSilences.ts";
import { RouterFaults } from "../../scripts/soak/router/routerFaults.ts";
import { Violations } from "../../scripts/soak/violations.ts";

const sentAt = 10_000;
const cut = { status: 200, isComplete: false, reason: "SocketError" };

describe("checkSilences", () => {
    let timeline: FaultTimeline;
    /** Wall-clock time in milliseconds at which the stage that received the request ended. */
    let stageEndedAt: number | undefined;

    beforeEach(() => {
        timeline = FaultTimeline.create();
        stageEndedAt = undefined;
    });

    function addFault(kind: string, target: string, from = sentAt, to = sentAt + 1_000): void {
        Object.assign(timeline.start(kind, target), { from, to });
    }

    function createEndpoint(name: string, service: string, hasReceived: boolean) {
        const isReceivingStage = hasReceived && service === "model";
        return {
            name,
            isStage: () => service === "model",
            getService: () => service,
            hasReceived: () => hasReceived,
            hasChanged: (from: number, to: number) =>
                isReceivingStage && stageEndedAt !== undefined && stageEndedAt >= from && stageEndedAt <= to,
        };
    }

    function count(changes: Partial<CallRecord>, service = "model", hasReceived = true): number {
        const record = { id: "call-1", node: "node-0", sentAt, endedAt: sentAt + 900, leftAt: undefined, ...changes };
        const violations = Violations.create(timeline, LogTail.create(), () => undefined);
        checkSilences({
            endpoints: [createEndpoint("one", service, hasReceived), createEndpoint("two", service, false)] as never,
            faults: RouterFaults.create(timeline),
            violations: CallViolations.create(violations),
            records: new Map([["call-1", record as CallRecord]]),
        });
        return violations.getAll().length;
    }

    it("detects that a request was cut or failed while its endpoint stood still, also during planned operations", () => {
        addFault("endpointStandsStill", "one");
        addFault("nodeStop", "node-0");
        addFault("storeSilent", "store");
        assert.equal(count(cut), 1);
        assert.equal(count({ status: 502, isComplete: true }), 1);
        assert.equal(count(cut, "documents"), 1);
    });

    it("accepts answers, refusals, and the end of requests that were not sent, reached their timeout or were left", () => {
        addFault("endpointStandsStill", "one");
        assert.equal(count({ status: 200, isComplete: true }), 0);
        assert.equal(count({ status: 503, isComplete: true }), 0);
        assert.equal(count(cut, "model", false), 0);
        assert.equal(count({ ...cut, endedAt: sentAt + 3_000 }), 0);
        assert.equal(count({ ...cut, leftAt: sentAt + 500 }), 0);
    });

    it("counts the silence of another stage, but not that of another endpoint for documents or at another time", () => {
        addFault("endpointStandsStill", "two");
        assert.equal(count(cut), 1);
        assert.equal(count(cut, "documents"), 0);
        assert.equal(count({ ...cut, sentAt: sentAt + 1_100, endedAt: sentAt + 1_200 }), 0);
    });

    it("accepts the end of requests that a fault of the node or of an endpoint explains", () => {
        addFault("endpointStandsStill", "one");
        const explanations = [["nodeKill", "node-0", 2_000], ["nodeLinksReset", "node-0", 2_000], [
            "endpointReset",
            "two",
            500,
        ]] as const;
        for (const [kind, target, beforeMilliseconds] of explanations) {
            const active = timeline.start(kind, target);
            Object.assign(active, { from: sentAt - 3_000, to: sentAt - beforeMilliseconds });
            assert.equal(count(cut), 0);
            active.target = "another";
            assert.equal(count(cut), 1);
        }
        addFault("endpointReset", "two", sentAt - 3_000, sentAt - 1_100);
        assert.equal(count(cut), 1);
        stageEndedAt = sentAt + 200;
        assert.equal(count(cut), 0);
    });
});
