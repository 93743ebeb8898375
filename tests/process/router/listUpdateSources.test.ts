import assert from "node:assert/strict";
import { before, describe, it } from "node:test";
import { RendezvousOwners } from "../../../src/process/membership/rendezvousOwners.ts";
import type { KnownNode } from "../../../src/process/router/knownNode.ts";
import { listUpdateSources } from "../../../src/process/router/listUpdateSources.ts";

describe("listUpdateSources", () => {
    let owners: RendezvousOwners;
    const nodes: KnownNode[] = Array.from({ length: 195 }, (_, index) => ({
        nodeId: `node-${index}`,
        address: `10.0.0.${index}:1`,
        dataCentre: `dc-${index % 5}`,
        isWithoutStore: false,
        heardAt: 0,
    }));

    before(async () => {
        owners = await RendezvousOwners.create();
    });

    function list(own: KnownNode) {
        return listUpdateSources(own, nodes.filter(node => node !== own), owners);
    }

    it("reaches every node in two hops", () => {
        const hubs = new Set(nodes.filter(node => list(node).isDistributor).map(({ address }) => address));
        const watchers = new Set(nodes.filter(node => list(node).isDistributor).flatMap(node => list(node).addresses));
        assert.equal(watchers.size, 4);
        for (const node of nodes.filter(({ address }) => !hubs.has(address))) {
            const { addresses } = list(node);
            assert.ok(addresses.length >= 2 && addresses.every(address => hubs.has(address)));
        }
    });

    it("bounds the number of nodes that each hub serves", () => {
        const askers = new Map<string, number>();
        for (const node of nodes) {
            const { isDistributor, addresses } = list(node);
            for (const address of isDistributor ? [] : addresses) {
                askers.set(address, (askers.get(address) ?? 0) + 1 / addresses.length);
            }
        }
        assert.ok(Math.max(...askers.values()) <= 12);
    });

    it("lets only hubs get updates from another data centre", () => {
        for (const node of nodes) {
            const { isDistributor, addresses } = list(node);
            const isNear = (address: string) =>
                nodes.find(other => other.address === address)!.dataCentre === node.dataCentre;
            assert.ok(isDistributor || addresses.every(isNear));
        }
    });
});
