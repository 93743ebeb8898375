import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createBenchConfiguration } from "../../../bench/admission/createBenchConfiguration.ts";
import { createRandom } from "../../../bench/admission/createRandom.ts";
import { CustomerLimits } from "../../../src/request/admission/customerLimits.ts";
import { VirtualClock } from "../../support/virtualClock.ts";

function createLimits(nodeCount?: number): { limits: CustomerLimits; clock: VirtualClock; } {
    const clock = VirtualClock.create();
    const configuration = createBenchConfiguration({ alice: { requestsPerSecond: 100 } });
    const limits = CustomerLimits.create({
        getConfiguration: () => configuration,
        clock,
        random: createRandom(1),
        getNodeCount: nodeCount === undefined ? undefined : () => nodeCount,
    });
    return { limits, clock };
}

/** Sends requests at a constant rate for 5 s and gets how many were admitted in the last second. */
async function countPassed(limits: CustomerLimits, clock: VirtualClock, perSecond: number): Promise<number> {
    const startedAt = clock.getMonotonicTime();
    let passed = 0;
    for (let index = 0; index < 5 * perSecond; index++) {
        await clock.runUntil(startedAt + index * 1000 / perSecond);
        const refusal = limits.takeRequest("alice", clock.getMonotonicTime());
        passed += refusal === undefined && index >= 4 * perSecond ? 1 : 0;
    }
    return passed;
}

function assertNear(value: number, expected: number): void {
    assert.ok(Math.abs(value - expected) <= 0.03 * expected, `${value} is not near ${expected}`);
}

describe("CustomerLimits", () => {
    it("admits requests up to the limit and refuses the rest with a retry delay", async () => {
        const { limits, clock } = createLimits();
        assertNear(await countPassed(limits, clock, 80), 80);
        assertNear(await countPassed(limits, clock, 400), 100);
        const refusals = Array.from({ length: 8 }, () => limits.takeRequest("alice", clock.getMonotonicTime()));
        const refusal = refusals.find(each => each !== undefined);
        assert.equal(refusal?.kind, "rateLimited");
        assert.ok(refusal.retryAfterMilliseconds > 0);
    });

    it("shares the limit by demand, and uses all of it after the peers become silent or leave", async () => {
        const { limits, clock } = createLimits();
        const report = () => limits.applyPeerDemand("peer", [{ customer: "alice", requestsPerSecond: 300 }]);
        report();
        await countPassed(limits, clock, 100);
        report();
        await clock.runUntil(clock.getMonotonicTime() + 10);
        const peerLimits = createLimits();
        peerLimits.limits.applyPeerDemand("peer", [{ customer: "alice", requestsPerSecond: 300 }]);
        assertNear(await countPassed(peerLimits.limits, peerLimits.clock, 100), 25);
        peerLimits.limits.removePeer("peer");
        assertNear(await countPassed(peerLimits.limits, peerLimits.clock, 100), 100);
        await clock.runUntil(clock.getMonotonicTime() + 6_000);
        limits.getDemand();
        assertNear(await countPassed(limits, clock, 100), 100);
    });

    it("assumes the mean reported demand for nodes that have not reported", async () => {
        const { limits, clock } = createLimits(11);
        for (const peer of ["one", "two"]) {
            limits.applyPeerDemand(peer, [{ customer: "alice", requestsPerSecond: 30 }]);
        }
        assertNear(await countPassed(limits, clock, 100), 25);
    });

    it("reports the demand of customers with recent requests only", async () => {
        const { limits, clock } = createLimits();
        await countPassed(limits, clock, 200);
        const [record] = limits.getDemand();
        assert.equal(record?.customer, "alice");
        assertNear(record.requestsPerSecond, 200);
        await clock.runUntil(clock.getMonotonicTime() + 60_000);
        assert.deepEqual(limits.getDemand(), []);
    });

    it("reports the customers closest to their limits if the number of records is limited", () => {
        const clock = VirtualClock.create();
        const customers = {
            small: { requestsPerSecond: 2 },
            large: { requestsPerSecond: 500 },
            middle: { requestsPerSecond: 5 },
        };
        const configuration = createBenchConfiguration(customers);
        const limits = CustomerLimits.create({ getConfiguration: () => configuration, clock, random: createRandom(1) });
        for (const customer of ["large", "middle", "small", "large", "middle"]) {
            limits.takeRequest(customer, 0);
        }
        assert.deepEqual(limits.getDemand(2).map(record => record.customer), ["middle", "small"]);
    });

    it("refuses a customer that is not in the configuration", () => {
        assert.equal(createLimits().limits.takeRequest("mallory", 0)?.kind, "rateLimited");
    });
});
