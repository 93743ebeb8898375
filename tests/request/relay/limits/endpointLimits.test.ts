import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EndpointLimits } from "../../../../src/request/relay/limits/endpointLimits.ts";
import { createEndpoint } from "../relayModel.ts";
import { LimitBench } from "./limitBench.ts";

const namedAt = 5_000;
/** Time after an endpoint first states a limit from which nodes must keep it. */
const settleMilliseconds = 3_000;

function getAllowed(limit: number): number {
    return 1.5 * limit * 4 + 5;
}

describe("EndpointLimits", () => {
    function create(sharers = { count: 1, includesAllNodes: true, includesThisNode: true }) {
        const lines: unknown[] = [];
        let changeCount = 0;
        const limits = EndpointLimits.create({
            log: { write: (_event, fields) => lines.push(fields) },
            random: () => 0.5,
            chooseSharers: () => sharers,
            onSignificantChange: () => changeCount++,
        });
        return { lines, limits, getChangeCount: () => changeCount };
    }

    const endpoint = createEndpoint("x", { kind: "middle" });

    it("logs and reports when an endpoint starts, changes and ends its limit, but no repetitions", () => {
        const { lines, limits, getChangeCount } = create();
        for (const rate of [undefined, 2, 2, 3.5, undefined, undefined]) {
            limits.noteAnswer("x", rate, 0);
        }
        const line = { endpoint: "x", source: "answer" };
        assert.deepEqual(lines, [
            { ...line, isLimited: true, requestsPerSecond: 2, before: 0 },
            { ...line, isLimited: true, requestsPerSecond: 3.5, before: 2 },
            { ...line, isLimited: false, requestsPerSecond: 0, before: 3.5 },
        ]);
        assert.equal(getChangeCount(), 3);
    });

    it("removes endpoints that are no longer registered", () => {
        const { lines, limits } = create();
        limits.noteAnswer("x", 2, 0);
        limits.retain(new Set(["y"]));
        limits.noteAnswer("x", undefined, 0);
        assert.equal(lines.length, 1);
    });

    it("allows all requests without a limit, and none if only other nodes share the limit", () => {
        const { limits } = create({ count: 7, includesAllNodes: false, includesThisNode: false });
        assert.ok(limits.take(endpoint, 0));
        limits.noteAnswer("x", 2, 0);
        assert.ok(!limits.take(endpoint, 10_000));
        limits.noteAnswer("x", undefined, 10_000);
        assert.ok(limits.take(endpoint, 10_000));
    });

    it("returns a request that was taken but not sent", () => {
        const { limits } = create();
        limits.noteAnswer("x", 1, 0);
        limits.take(endpoint, 0);
        const takeAll = () => {
            let taken = 0;
            while (limits.take(endpoint, 10_000)) {
                taken += 1;
            }
            return taken;
        };
        assert.ok(takeAll() > 0);
        limits.refund("x");
        assert.equal(takeAll(), 1);
    });

    it("applies a peer's report if it is newer, also about the end of a limit", () => {
        const { limits } = create();
        const report = (requestsPerSecond: number | undefined, at: number, now: number) =>
            limits.applyReports("peer", [{ endpointId: "x", requestsPerSecond, at, demand: 1 }], now);
        report(2, 1_000, 1_000);
        assert.ok(limits.isLimited("x"));
        limits.noteAnswer("x", undefined, 2_000);
        report(2, 1_500, 2_100);
        assert.ok(!limits.isLimited("x"));
        report(2, 2_500, 2_600);
        assert.ok(limits.isLimited("x"));
        report(undefined, 3_000, 3_000);
        assert.ok(!limits.isLimited("x"));
        assert.equal(limits.listReports(4_000)[0]!.requestsPerSecond, undefined);
        assert.deepEqual(limits.listReports(14_000), []);
    });

    it("spreads the retries of callers at the rate of this node's share", () => {
        const { limits } = create();
        limits.noteAnswer("x", 2, 0);
        limits.take(endpoint, 0);
        const delays = Array.from({ length: 4 }, () => limits.bookRetry(["x"], 0));
        assert.ok(delays[0]! < 1_000, String(delays));
        assert.ok(delays[3]! > 1_500 && delays[3]! < 4_000, String(delays));
    });

    for (const [nodes, requestsPerSecond] of [[2, 40], [6, 55], [9, 55], [63, 240]] as const) {
        for (const limit of [1.3, 3.5, 10]) {
            it(`keeps ${nodes} nodes together within a limit of ${limit} requests per second, and uses it`, () => {
                for (const seed of [1, 2, 3]) {
                    const getDemandFraction = () => 0.5;
                    const getLimit = (now: number) => now >= namedAt ? limit : undefined;
                    const bench = LimitBench.create({ seed, nodes, requestsPerSecond, getDemandFraction, getLimit });
                    bench.runUntil(20_000);
                    const most = bench.getMaximumRequests(namedAt + settleMilliseconds, 20_000);
                    assert.ok(most <= getAllowed(limit), `${most} in 4 s, seed ${seed}`);
                    const rate = bench.getRate(namedAt + settleMilliseconds, 20_000);
                    assert.ok(rate >= 0.5 * limit, `only ${rate} a second, seed ${seed}`);
                }
            });
        }
    }

    for (const nodes of [6, 9, 12]) {
        it(`keeps ${nodes} nodes within a limit when another endpoint fails and all requests go to this one`, () => {
            for (const limit of [1.3, 3.5, 10]) {
                for (const seed of [1, 2, 3]) {
                    const getDemandFraction = (now: number) => now > 12_000 ? 0.8 : 0.05;
                    const getLimit = (now: number) => now >= namedAt ? limit : undefined;
                    const options = { seed, nodes, requestsPerSecond: 55, getDemandFraction, getLimit };
                    const bench = LimitBench.create(options);
                    bench.runUntil(20_000);
                    const most = bench.getMaximumRequests(namedAt + settleMilliseconds, 20_000);
                    assert.ok(most <= getAllowed(limit), `${most} in 4 s, limit ${limit}, seed ${seed}`);
                }
            }
        });
    }

    it("follows a limit that decreases, ends and starts again, while a node restarts", () => {
        for (const seed of [1, 2, 3, 4, 5]) {
            const getLimit = (now: number) => {
                if (now < 5_000 || now >= 20_000 && now < 26_000) {
                    return undefined;
                }
                return now < 12_000 ? 10 : 2;
            };
            const getDemandFraction = () => 0.5;
            const bench = LimitBench.create({ seed, nodes: 6, requestsPerSecond: 55, getDemandFraction, getLimit });
            bench.runUntil(14_000);
            bench.restart(2);
            bench.runUntil(34_000);
            assert.ok(bench.getMaximumRequests(8_000, 12_000) <= getAllowed(10));
            assert.ok(
                bench.getMaximumRequests(13_000, 20_000) <= getAllowed(2),
                `${bench.getMaximumRequests(13_000, 20_000)}, seed ${seed}`,
            );
            assert.ok(bench.getRate(21_500, 26_000) >= 0.85 * 27.5, `only ${bench.getRate(21_500, 26_000)} a second`);
            assert.ok(bench.getMaximumRequests(29_000, 34_000) <= getAllowed(2));
        }
    });

    it("gives most of a limit to the node with most of the demand", () => {
        const getLimit = (now: number) => now >= namedAt ? 3 : undefined;
        const getDemandFraction = () => 0.3;
        const options = { seed: 1, nodes: 6, requestsPerSecond: 10, getDemandFraction, getLimit, firstNodeShare: 0.9 };
        const bench = LimitBench.create(options);
        bench.runUntil(40_000);
        const rate = bench.getRate(15_000, 40_000);
        assert.ok(rate > 1.5, `${rate} a second`);
    });
});
