import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { callKinds } from "../../scripts/soak/router/callKind.ts";
import { checkReplacements } from "../../scripts/soak/router/checkReplacements.ts";
import { LostRequestHarness } from "./lostRequestHarness.ts";

const { sentAt } = LostRequestHarness;
const cut = { kind: callKinds.prompt, status: 200, isComplete: false, reason: "SocketError" };
const left = { ...cut, text: "id: 1", endedAt: sentAt + 2_100, leftAt: sentAt + 2_100, patienceMilliseconds: 2_000 };

describe("checkReplacements", () => {
    let harness: LostRequestHarness;

    beforeEach(() => {
        harness = LostRequestHarness.create(checkReplacements);
        harness.addFault("endpointReplaced", "one");
        harness.addFault("endpointFull", "two");
        harness.stageEndedAt = sentAt + 200;
    });

    it("detects that a stream that may be resumed was cut or failed, or held until its caller had left", () => {
        assert.equal(harness.count(cut), 1);
        assert.equal(harness.count({ ...cut, status: 502, isComplete: true }), 1);
        assert.equal(harness.count(left), 1);
    });

    it("accepts complete streams, refusals, and the end of others", () => {
        assert.equal(harness.count({ ...cut, isComplete: true }), 0);
        assert.equal(harness.count({ ...cut, status: 503, isComplete: true }), 0);
        assert.equal(harness.count({ ...cut, kind: callKinds.once }), 0);
        assert.equal(harness.count({ ...cut, endedAt: sentAt + 3_000 }), 0);
        assert.equal(harness.count({ ...cut, sentAt: sentAt + 1_100, endedAt: sentAt + 1_200 }), 0);
    });

    it("accepts that callers leave a stream without an event, by their own wish, or one that may wait for a silent endpoint", () => {
        assert.equal(harness.count({ ...left, text: "" }), 0);
        assert.equal(harness.count({ ...left, patienceMilliseconds: undefined }), 0);
        harness.addFault("endpointStandsStill", "two");
        assert.equal(harness.count(left), 0);
    });

    it("accepts the end of streams that another fault explains", () => {
        harness.addFault("endpointReset", "two");
        assert.equal(harness.count(cut), 0);
    });
});
