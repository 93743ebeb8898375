import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EndpointHealth } from "../../../../src/request/relay/endpoints/endpointHealth.ts";

describe("EndpointHealth", () => {
    it("increases the backoff with each consecutive failure of an endpoint, until it answers", () => {
        const health = EndpointHealth.create();
        health.markUnavailable("e", 0);
        assert.ok(health.isSuspect("e", 399));
        assert.ok(!health.isSuspect("e", 401));
        health.markUnavailable("e", 401);
        assert.ok(health.isSuspect("e", 1_200));
        health.addSuccess("e", 1_200);
        assert.ok(!health.isSuspect("e", 1_200));
    });

    it("lets failures decay over time", () => {
        const health = EndpointHealth.create();
        health.addFailure("e", 0);
        const share = health.getFailureShare("e", 0);
        assert.ok(Math.abs(health.getFailureShare("e", 3_000) - share / 2) < 1e-9);
    });

    it("applies a peer's suspicion for its remaining time", () => {
        const health = EndpointHealth.create();
        health.applySuspicion({ endpointId: "e", remainingMilliseconds: 500, isRefusing: false }, 100);
        assert.ok(health.isSuspect("e", 599));
        assert.ok(!health.isSuspect("e", 601));
        assert.deepEqual(health.getSuspicions(200), [{
            endpointId: "e",
            remainingMilliseconds: 400,
            isRefusing: false,
        }]);
    });

    it("ignores a peer's suspicion while this node receives events from the endpoint", () => {
        const health = EndpointHealth.create();
        health.markAlive("e", 0);
        health.applySuspicion({ endpointId: "e", remainingMilliseconds: 1_000, isRefusing: false }, 200);
        assert.ok(!health.isSuspect("e", 200));
        health.applySuspicion({ endpointId: "e", remainingMilliseconds: 1_000, isRefusing: false }, 400);
        assert.ok(health.isSuspect("e", 400));
    });

    it("applies a peer's report that an endpoint refuses new requests, also while this node receives events from it", () => {
        const health = EndpointHealth.create();
        health.markAlive("e", 0);
        const suspicion = { endpointId: "e", remainingMilliseconds: 1_000, isRefusing: true };
        assert.ok(health.applySuspicion(suspicion, 0));
        assert.ok(!health.applySuspicion(suspicion, 10));
        assert.ok(health.isSuspect("e", 900));
        assert.deepEqual(health.getSuspicions(10), [{
            endpointId: "e",
            remainingMilliseconds: 1_000,
            isRefusing: true,
        }]);
        assert.ok(!health.isSuspect("e", 1_011));
    });

    it("tries a refusing endpoint again with a jitter, after it stops reporting the refusal", () => {
        const health = EndpointHealth.create(() => 1);
        health.addRefusal("e", 0);
        assert.deepEqual(health.getSuspicions(3_001), []);
        assert.ok(health.isSuspect("e", 3_001));
    });

    it("doesn't suspect an endpoint that has refused nothing right after the start of the process", () => {
        const health = EndpointHealth.create(() => 1);
        health.addSuccess("e", 10);
        health.markAlive("e", 10);
        health.addFailure("e", 10);
        assert.equal(health.isSuspect("e", 20), false);
    });
});
