import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { choosePartners } from "../../../src/process/router/choosePartners.ts";
import type { KnownNode } from "../../../src/process/router/knownNode.ts";
import { createSeededRandom } from "../../support/createSeededRandom.ts";

function createNodes(count: number): KnownNode[] {
    return Array.from({ length: count }, (_, index) => ({
        nodeId: `node-${String(index).padStart(3, "0")}`,
        address: `10.0.0.${index}:1`,
        dataCentre: `dc-${index % 3}`,
        isWithoutStore: false,
        heardAt: 0,
    }));
}

/** Chooses the partners of each node. Returns the pairs that exchange state and the maximum partners of one node. */
function chooseAll(count: number, isBusy: boolean) {
    const nodes = createNodes(count);
    const random = createSeededRandom(1);
    const pairs = new Set<string>();
    let most = 0;
    for (const { nodeId, dataCentre, address } of nodes) {
        const others = nodes.filter(node => node.nodeId !== nodeId);
        const partners = choosePartners({
            nodeId,
            dataCentre,
            nodes: others,
            sources: [],
            isDistributor: false,
            isProofDue: false,
            round: 1,
            isBusy,
            random,
        });
        most = Math.max(most, partners.size);
        for (const partner of partners) {
            pairs.add([address, partner].sort().join());
        }
    }
    return { pairs, most };
}

describe("choosePartners", () => {
    it("lets all pairs of up to thirteen nodes exchange state in a round under load", () => {
        for (const count of [2, 3, 9, 13]) {
            assert.equal(chooseAll(count, true).pairs.size, count * (count - 1) / 2, `${count} nodes`);
        }
    });

    it("limits the partners in a large deployment, under load and when idle", () => {
        assert.ok(chooseAll(60, true).most <= 6);
        assert.ok(chooseAll(60, false).most <= 2);
    });

    const sources = ["10.0.0.3:1", "10.0.0.6:1"];

    /** Creates the query of a node of a large deployment, except for the round. */
    function createQuery(isProofDue: boolean) {
        return {
            nodeId: "n",
            dataCentre: "dc-0",
            nodes: createNodes(60),
            sources,
            isDistributor: false,
            isProofDue,
            isBusy: false,
            random: createSeededRandom(1),
        };
    }

    it("calls an update source, or a random node in one round of three", () => {
        const query = createQuery(false);
        for (const round of [1, 2, 4, 5]) {
            const partners = [...choosePartners({ ...query, round })];
            assert.equal(partners.length, 1);
            assert.ok(sources.includes(partners[0]!));
        }
        const others = [3, 6, 9, 12, 15, 18].flatMap(round => [...choosePartners({ ...query, round })]);
        assert.equal(others.length, 6);
        assert.ok(others.some(partner => !sources.includes(partner)));
    });

    it("calls a source in each round while it needs a newer proof, and the first one if others get updates from it", () => {
        const query = createQuery(true);
        for (const round of [1, 2, 3, 4, 5, 6]) {
            const [partner = ""] = choosePartners({ ...query, round });
            assert.ok(sources.includes(partner));
            assert.deepEqual([...choosePartners({ ...query, isDistributor: true, round })], [sources[0]]);
        }
    });

    it("has no partner if no other node is known", () => {
        assert.equal(chooseAll(1, true).pairs.size, 0);
    });
});
