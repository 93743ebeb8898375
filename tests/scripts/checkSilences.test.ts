import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { checkSilences } from "../../scripts/soak/router/checkSilences.ts";
import { LostRequestHarness } from "./lostRequestHarness.ts";

const { sentAt } = LostRequestHarness;
const cut = { status: 200, isComplete: false, reason: "SocketError" };

describe("checkSilences", () => {
    let harness: LostRequestHarness;

    beforeEach(() => {
        harness = LostRequestHarness.create(checkSilences);
    });

    it("detects that a request was cut or failed while its endpoint stood still, also during planned operations", () => {
        harness.addFault("endpointStandsStill", "one");
        harness.addFault("nodeStop", "node-0");
        harness.addFault("storeSilent", "store");
        assert.equal(harness.count(cut), 1);
        assert.equal(harness.count({ status: 502, isComplete: true }), 1);
        assert.equal(harness.count(cut, "documents"), 1);
    });

    it("accepts answers, refusals, and the end of requests that were not sent, reached their timeout or were left", () => {
        harness.addFault("endpointStandsStill", "one");
        assert.equal(harness.count({ status: 200, isComplete: true }), 0);
        assert.equal(harness.count({ status: 503, isComplete: true }), 0);
        assert.equal(harness.count(cut, "model", false), 0);
        assert.equal(harness.count({ ...cut, endedAt: sentAt + 3_000 }), 0);
        assert.equal(harness.count({ ...cut, leftAt: sentAt + 500 }), 0);
    });

    it("counts the silence of another stage, but not that of another endpoint for documents or at another time", () => {
        harness.addFault("endpointStandsStill", "two");
        assert.equal(harness.count(cut), 1);
        assert.equal(harness.count(cut, "documents"), 0);
        assert.equal(harness.count({ ...cut, sentAt: sentAt + 1_100, endedAt: sentAt + 1_200 }), 0);
    });

    it("accepts the end of requests that a fault of the node or of an endpoint explains", () => {
        harness.addFault("endpointStandsStill", "one");
        const explanations = [["nodeKill", "node-0", 2_000], ["nodeLinksReset", "node-0", 2_000], [
            "endpointReset",
            "two",
            500,
        ]] as const;
        for (const [kind, target, beforeMilliseconds] of explanations) {
            const active = harness.timeline.start(kind, target);
            Object.assign(active, { from: sentAt - 3_000, to: sentAt - beforeMilliseconds });
            assert.equal(harness.count(cut), 0);
            active.target = "another";
            assert.equal(harness.count(cut), 1);
        }
        harness.addFault("endpointReset", "two", sentAt - 3_000, sentAt - 1_100);
        assert.equal(harness.count(cut), 1);
        harness.stageEndedAt = sentAt + 200;
        assert.equal(harness.count(cut), 0);
    });

    it("detects that a caller left its stream without an event while an endpoint began late, but not otherwise", () => {
        const left = { status: 0, isComplete: false, leftAt: sentAt + 900, patienceMilliseconds: 900, text: "" };
        assert.equal(harness.count(left), 0);
        harness.addFault("endpointBeginsLate", "two");
        harness.addFault("endpointBeginsLate", "one", sentAt + 800);
        assert.equal(harness.count(left), 0);
        harness.addFault("endpointBeginsLate", "one");
        assert.equal(harness.count(left), 1);
        assert.equal(harness.count({ ...left, text: "id: 1" }), 0);
        assert.equal(harness.count({ ...left, patienceMilliseconds: undefined }), 0);
        assert.equal(harness.count(left, "model", false), 0);
        harness.addFault("endpointStandsStill", "two");
        assert.equal(harness.count(left), 0);
    });

    it("does not accept that others refuse the request as full, or that one of them is replaced, as an explanation", () => {
        harness.addFault("endpointStandsStill", "one");
        harness.addFault("endpointFull", "two");
        harness.addFault("endpointReplaced", "two");
        assert.equal(harness.count(cut), 1);
    });
});
