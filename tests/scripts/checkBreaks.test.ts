import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { callKinds } from "../../scripts/soak/router/callKind.ts";
import { checkBreaks } from "../../scripts/soak/router/checkBreaks.ts";
import { LostRequestHarness } from "./lostRequestHarness.ts";

const { sentAt } = LostRequestHarness;
const cut = { kind: callKinds.prompt, text: "", status: 200, isComplete: false, reason: "SocketError" };
const refused = { kind: callKinds.prompt, status: 503, isComplete: true };
const heldBack = {
    ...refused,
    text: "The request was not run: 2 endpoints failed while they ran the same request before.",
};
const left = { ...cut, text: "id: 1", endedAt: sentAt + 2_100, leftAt: sentAt + 2_100, patienceMilliseconds: 2_000 };

describe("checkBreaks", () => {
    let harness: LostRequestHarness;

    beforeEach(() => {
        harness = LostRequestHarness.create(checkBreaks);
        harness.addFault("endpointBreaksOff", "one", sentAt - 500, sentAt + 3_000);
    });

    it("detects that a stream was cut or failed, or held until its caller had left", () => {
        assert.equal(harness.count(cut), 1);
        assert.equal(harness.count({ ...cut, status: 502, isComplete: true }), 1);
        assert.equal(harness.count(left), 1);
    });

    it("detects that a request was held back, also one that no endpoint received", () => {
        assert.equal(harness.count(heldBack), 1);
        assert.equal(harness.count(heldBack, "model", false), 1);
    });

    it("accepts complete streams, other refusals, and what ends at another time", () => {
        assert.equal(harness.count({ ...cut, isComplete: true }), 0);
        assert.equal(harness.count({ ...refused, text: "The request was not run: no capacity." }), 0);
        assert.equal(harness.count({ ...heldBack, sentAt: sentAt + 9_000, endedAt: sentAt + 9_100 }), 0);
    });

    it("accepts that requests are held back or cut beside a crash or another fault of an endpoint", () => {
        harness.stageEndedAt = sentAt - 900;
        assert.equal(harness.count(heldBack), 0);
        assert.equal(harness.count(cut), 0);
        harness.stageEndedAt = undefined;
        harness.addFault("endpointReset", "two");
        assert.equal(harness.count(heldBack), 0);
        assert.equal(harness.count(cut), 0);
    });
});
