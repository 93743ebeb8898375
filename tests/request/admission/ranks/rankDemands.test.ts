import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RankDemands } from "../../../../src/request/admission/ranks/rankDemands.ts";

/** Adds 2,000 tokens, which makes a rate of 1,000 tokens a second. */
function observe(demands: RankDemands, service: string, rank: number) {
    demands.observeArrival({ service, rank, tokens: 2_000 }, 0);
}

describe("RankDemands", () => {
    it("adds the demand of peers, and counts nodes without a report with the mean of the others", () => {
        const demands = RankDemands.create();
        observe(demands, "m", 0);
        demands.observeStart({ service: "m", rank: 0, tokens: 1_000 }, 0);
        assert.deepEqual(demands.getTotal("m", 0, 3, 0), { rank: 0, demand: 3_000, admitted: 1_500 });
        demands.setPeerDemands("a", [{ rank: 0, demand: 100, admitted: 40 }], 0);
        assert.deepEqual(demands.getTotal("m", 0, 3, 0), { rank: 0, demand: 1_200, admitted: 580 });
    });

    // Guards against shares of a fraction of the capacity on deployments where few nodes have callers.
    it("counts peers that have had no requests with no demand", () => {
        const demands = RankDemands.create();
        observe(demands, "m", 0);
        demands.setPeerDemands("a", [{ rank: 0, demand: 100, admitted: 40 }], 0);
        for (const peerId of ["b", "c", "d"]) {
            demands.setPeerDemands(peerId, [], 0, true);
        }
        assert.equal(demands.getTotal("m", 0, 5, 0).demand, 1_100);
    });

    it("ignores outdated reports", () => {
        const demands = RankDemands.create();
        demands.setPeerDemands("a", [{ rank: 0, demand: 100, admitted: 40 }], 0);
        assert.equal(demands.getOldestReportAge(600), 600);
        assert.equal(demands.getTotal("m", 0, 2, 3_000).demand, 100);
        assert.equal(demands.getTotal("m", 0, 2, 3_001).demand, 0);
    });

    // Guards against a first rank of -1 that counts with the demand of one node, so that lower ranks get nearly all capacity.
    it("assumes the demand of each node to be the same for a rank that isn't reported", () => {
        const demands = RankDemands.create();
        observe(demands, "m", -1);
        observe(demands, "m", 0);
        demands.setPeerDemands("a", [{ rank: 0, demand: 100, admitted: 40 }], 0);
        assert.deepEqual(demands.listOwn(0).map(({ rank }) => rank), [0]);
        assert.equal(demands.getTotal("m", -1, 4, 0).demand, 4_000);
    });

    // Guards against a reserve at one service for the demand of another one, since reports don't tell services apart.
    it("gives each service the fraction of the reported demand that it has of this node's", () => {
        const demands = RankDemands.create();
        observe(demands, "m", 0);
        observe(demands, "n", 0);
        demands.setPeerDemands("a", [{ rank: 0, demand: 500, admitted: 500 }], 0);
        assert.equal(demands.getTotal("m", 0, 2, 0).demand, 1_250);
    });

    it("reports at most 8 ranks, those that go first", () => {
        const demands = RankDemands.create();
        for (let rank = 20; rank >= 0; rank--) {
            observe(demands, "m", rank);
        }
        assert.deepEqual(demands.listOwn(0).map(({ rank }) => rank), [0, 1, 2, 3, 4, 5, 6, 7]);
    });
});
