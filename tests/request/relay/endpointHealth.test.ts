import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EndpointHealth } from "../../../src/request/relay/endpointHealth.ts";

describe("EndpointHealth", () => {
    it("takes an endpoint as lost for longer with each loss in a row, until it answers", () => {
        const health = EndpointHealth.create();
        health.addLoss("e", 0);
        assert.ok(health.isSuspect("e", 399));
        assert.ok(!health.isSuspect("e", 401));
        health.addLoss("e", 401);
        assert.ok(health.isSuspect("e", 1_200));
        health.addSuccess("e", 1_200);
        assert.ok(!health.isSuspect("e", 1_200));
    });

    it("forgets failures with time", () => {
        const health = EndpointHealth.create();
        health.addFailure("e", 0);
        const share = health.getFailureShare("e", 0);
        assert.ok(Math.abs(health.getFailureShare("e", 3_000) - share / 2) < 1e-9);
    });

    it("takes a peer's suspicion over for the time that it lasts there", () => {
        const health = EndpointHealth.create();
        health.addSuspicion({ endpointId: "e", remainingMilliseconds: 500, isRefusing: false }, 100);
        assert.ok(health.isSuspect("e", 599));
        assert.ok(!health.isSuspect("e", 601));
        assert.deepEqual(health.getSuspicions(200), [{
            endpointId: "e",
            remainingMilliseconds: 400,
            isRefusing: false,
        }]);
    });

    it("doesn't take a peer's suspicion over while events of the endpoint come here", () => {
        const health = EndpointHealth.create();
        health.noteAlive("e", 0);
        health.addSuspicion({ endpointId: "e", remainingMilliseconds: 1_000, isRefusing: false }, 200);
        assert.ok(!health.isSuspect("e", 200));
        health.addSuspicion({ endpointId: "e", remainingMilliseconds: 1_000, isRefusing: false }, 400);
        assert.ok(health.isSuspect("e", 400));
    });

    it("takes over from a peer that an endpoint refuses new requests, also while its events come here", () => {
        const health = EndpointHealth.create();
        health.noteAlive("e", 0);
        const suspicion = { endpointId: "e", remainingMilliseconds: 1_000, isRefusing: true };
        assert.ok(health.addSuspicion(suspicion, 0));
        assert.ok(!health.addSuspicion(suspicion, 10));
        assert.ok(health.isSuspect("e", 900));
        assert.deepEqual(health.getSuspicions(10), [{
            endpointId: "e",
            remainingMilliseconds: 1_000,
            isRefusing: true,
        }]);
        assert.ok(!health.isSuspect("e", 1_011));
    });

    it("looks again later than the peers, by a time of its own", () => {
        const health = EndpointHealth.create(() => 1);
        health.addRefusal("e", 0);
        assert.deepEqual(health.getSuspicions(3_001), []);
        assert.ok(health.isSuspect("e", 3_001));
    });
});
