import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RendezvousOwners } from "../../../src/process/membership/rendezvousOwners.ts";
import { choosePartners } from "../../../src/process/router/choosePartners.ts";
import type { KnownNode } from "../../../src/process/router/nodeTable.ts";

const dataCentres = ["a", "b", "c"];

function createNodes(count: number): KnownNode[] {
    return Array.from({ length: count }, (_, index) => ({
        nodeId: `node-${index}`,
        address: `127.0.0.1:${10_000 + index}`,
        dataCentre: dataCentres[index % dataCentres.length]!,
        isWithoutStore: false,
        heardAt: 0,
    }));
}

function listPartners(nodes: readonly KnownNode[], node: KnownNode, owners: RendezvousOwners): string[] {
    const others = nodes.filter(other => other !== node);
    const { near, away } = choosePartners(node.nodeId, node.dataCentre, others, owners);
    return [...near, ...away].map(({ nodeId }) => nodeId);
}

/** Counts the rounds, of two exchanges by each node, until news of one has reached all. */
function countRounds(nodes: readonly KnownNode[], owners: RendezvousOwners, random: () => number): number {
    const informed = new Set([nodes[0]!.nodeId]);
    let rounds = 0;
    while (informed.size < nodes.length && rounds < 100) {
        rounds += 1;
        const before = new Set(informed);
        for (const node of nodes) {
            const partners = listPartners(nodes, node, owners);
            for (let count = 0; count < 2; count += 1) {
                const partner = partners[Math.floor(random() * partners.length)]!;
                if (before.has(partner) || before.has(node.nodeId)) {
                    informed.add(partner).add(node.nodeId);
                }
            }
        }
    }
    return rounds;
}

describe("choosePartners", () => {
    it("takes all nodes of a small deployment", async () => {
        const owners = await RendezvousOwners.create();
        const nodes = createNodes(9);
        assert.equal(listPartners(nodes, nodes[0]!, owners).length, 8);
    });

    it("keeps the connections of a large deployment in proportion to its nodes", async () => {
        const owners = await RendezvousOwners.create();
        for (const count of [77, 340]) {
            const nodes = createNodes(count);
            for (const node of nodes) {
                assert.equal(listPartners(nodes, node, owners).length, 6);
            }
        }
    });

    it("brings news to all nodes of a large deployment in a few rounds", async () => {
        const owners = await RendezvousOwners.create();
        let seed = 7;
        const random = () => {
            seed = (seed * 48_271) % 0x7fff_ffff;
            return seed / 0x7fff_ffff;
        };
        for (const count of [30, 77, 340]) {
            for (let run = 0; run < 5; run += 1) {
                const rounds = countRounds(createNodes(count), owners, random);
                assert.ok(rounds <= 8, `${count} nodes took ${rounds} rounds.`);
            }
        }
    });

    it("changes few pairs when a node goes", async () => {
        const owners = await RendezvousOwners.create();
        const nodes = createNodes(77);
        const left = nodes.slice(1);
        let changes = 0;
        for (const node of left) {
            const before = listPartners(nodes, node, owners);
            const after = listPartners(left, node, owners);
            changes += after.filter(nodeId => !before.includes(nodeId)).length;
        }
        assert.ok(changes < 20, `${changes} pairs changed.`);
    });
});
