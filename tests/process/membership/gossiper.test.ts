import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import type { VmRecord } from "../../../src/process/platform/vmList.ts";
import { waitUntil } from "../../support/waitUntil.ts";
import { TestNode } from "./testNode.ts";

const nodeCount = 5;

describe("Gossiper and ConfigurationDistributor over loopback", () => {
    let nodes: TestNode[] = [];

    beforeEach(async () => {
        nodes = await Promise.all(Array.from({ length: nodeCount }, (_, index) => TestNode.create(`node-${index}`)));
        const first = getNode(0);
        const seed: VmRecord = {
            vm: "node-0",
            state: "live",
            role: "node",
            address: first.proxy.getAddress(),
            dataCentre: "a",
        };
        for (const node of nodes) {
            node.view.applyVmList([seed], 0);
            node.gossiper.start();
        }
        await waitUntil(
            "all nodes know each other",
            () => nodes.every(node => node.view.getAliveMembers().length === nodeCount),
        );
        const hasAllConnections = (node: TestNode): boolean => node.proxy.getConnectionCount() >= nodeCount - 1;
        await waitUntil("all nodes are connected to each other", () => nodes.every(hasAllConnections));
    });

    afterEach(async () => {
        await Promise.all(nodes.map(node => node.close()));
    });

    function getNode(index: number): TestNode {
        const node = nodes[index];
        assert.ok(node !== undefined);
        return node;
    }

    it("declares a node dead that stops answering while its connections stay open", async () => {
        const silent = getNode(4);
        const others = nodes.slice(0, 4);
        silent.gossiper.stop();
        silent.proxy.freezeAllConnections();
        await waitUntil("all consider it dead", () => others.every(node => node.getStateOf(silent) === "dead"));
        for (const node of others) {
            assert.equal(node.view.getAliveMembers().length, nodeCount - 1);
            assert.ok(node.gossiper.getLastContact() !== undefined);
        }
    });

    it("does not declare a node dead if its old connections are silent but new ones work", async () => {
        const node = getNode(4);
        const deaths: string[] = [];
        for (const other of nodes) {
            other.view.onChange(change => change.member.state === "dead" && deaths.push(change.member.nodeId));
        }
        node.proxy.freezeConnections();
        const bytes = node.proxy.getByteCount();
        await waitUntil("new connections carry calls", () => node.proxy.getByteCount() > bytes + 10_000);
        await waitUntil("all consider it alive", () => nodes.every(other => other.getStateOf(node) === "alive"));
        assert.deepEqual(deaths, []);
    });

    it("notifies the other nodes that it is leaving", async () => {
        const leaving = getNode(2);
        await leaving.gossiper.announceLeaving();
        for (const node of nodes) {
            assert.equal(node.getStateOf(leaving), "leaving");
        }
    });

    it("distributes a version to all nodes, once each and never a lower one", async () => {
        for (const version of [1, 3, 2]) {
            getNode(version).accept({ version, editId: `edit-${version}`, text: `{ /* ${version} */ }` });
            getNode(version).distributor.announce(version);
        }
        await waitUntil("all have version 3", () => nodes.every(node => node.configuration?.version === 3));
        for (const node of nodes) {
            assert.equal(node.configuration?.editId, "edit-3");
            assert.deepEqual(node.offered, [...new Set(node.offered)].sort());
        }
    });
});
