import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { TunnelPeer } from "../../../../src/connection/upstream/path/tunnelPeer.ts";
import { TunnelPeers } from "../../../../src/connection/upstream/path/tunnelPeers.ts";
import { createSeededRandom } from "../../../support/createSeededRandom.ts";

const choices = 400;

describe("TunnelPeers", () => {
    function createPeers(list: TunnelPeer[]): TunnelPeers {
        return TunnelPeers.create({ listPeers: () => list, random: createSeededRandom(1) });
    }

    it("spreads nodes that lose their links together over all peers that reach the endpoints", () => {
        const list = Array.from({ length: 8 }, (_, index) => ({
            address: `10.0.0.${index}:1`,
            unreachableFraction: index < 4 ? 0 : 1,
        }));
        const peers = createPeers(list);
        const counts = new Map<string, number>();
        for (let count = 0; count < choices; count++) {
            const address = peers.choose(new Set(), 0)!;
            counts.set(address, (counts.get(address) ?? 0) + 1);
        }
        assert.deepEqual([...counts.keys()].sort(), list.slice(0, 4).map(({ address }) => address));
        assert.ok(Math.max(...counts.values()) < 2 * choices / counts.size);
    });

    it("chooses no peer that was asked already, has just failed or is cut off itself", () => {
        const peers = createPeers([
            { address: "asked", unreachableFraction: 0 },
            { address: "failed", unreachableFraction: 0 },
            { address: "cutOff", unreachableFraction: 1 },
        ]);
        peers.recordFailure("failed", 0);
        assert.equal(peers.choose(new Set(["asked"]), 100), undefined);
        assert.equal(peers.choose(new Set(["asked"]), 1_000), "failed");
    });

    it("does not use connections through a peer that has failed since or takes no tunnels any more", () => {
        const list = [{ address: "peer", unreachableFraction: 0 }];
        const peers = createPeers(list);
        assert.ok(peers.isUsable("peer", 0));
        peers.recordFailure("peer", 10);
        assert.equal(peers.isUsable("peer", 0), false);
        assert.ok(peers.isUsable("peer", 20));
        list.pop();
        assert.equal(peers.isUsable("peer", 20), false);
    });
});
