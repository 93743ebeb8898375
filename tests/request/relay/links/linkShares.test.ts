import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { formatDataCentreLink } from "../../../../src/request/relay/links/formatDataCentreLink.ts";
import { LinkShares } from "../../../../src/request/relay/links/linkShares.ts";

const link = formatDataCentreLink("a", "b");

function createShares(demand: number, nodeCount: number): LinkShares {
    return LinkShares.create({ getDemand: () => demand, getNodeCount: () => nodeCount });
}

describe("LinkShares", () => {
    it("takes an equal share without peers, and if all reports are outdated", () => {
        const shares = createShares(100, 5);
        assert.equal(shares.getShare("a", "b", 0), 0.2);
        shares.applyPeer("1", 900, [link], 0);
        assert.equal(shares.getShare("a", "b", 3_001), 0.2);
    });

    it("follows the demand, and counts nodes without a message with the mean of the others", () => {
        const shares = createShares(100, 4);
        shares.applyPeer("1", 200, [link], 0);
        shares.applyPeer("2", 400, [link], 0);
        assert.equal(shares.getShare("a", "b", 0), 0.1);
    });

    it("leaves out peers that don't need a contended link, once they would have reported it", () => {
        const shares = createShares(100, 3);
        shares.applyPeer("1", 100, [link], 900);
        shares.applyPeer("2", 200, [], 1_100);
        assert.equal(shares.getShare("a", "b", 1_100), 0.25);
        shares.noteContention(link, 0);
        assert.equal(shares.getShare("a", "b", 1_100), 0.5);
        shares.applyPeer("2", 200, [], 900);
        assert.equal(shares.getShare("a", "b", 1_100), 0.25);
    });
});
