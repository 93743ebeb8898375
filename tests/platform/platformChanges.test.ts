import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { createConfiguration } from "../../standins/router/createConfiguration.ts";
import { createEndpointRecord } from "../../standins/router/createEndpointRecord.ts";
import { KeyValueStandin } from "../../standins/router/keyValueStandin.ts";
import { waitUntil } from "../support/waitUntil.ts";
import { RouterTestHarness, type StartedNode } from "./routerTestHarness.ts";

describe("Changes on the platform", () => {
    let harness: RouterTestHarness;
    let refused: KeyValueStandin;
    let node: StartedNode;
    let other: StartedNode;

    before(async () => {
        harness = await RouterTestHarness.create();
        refused = await KeyValueStandin.create();
        refused.faults = { refusalStatus: 503 };
        await harness.addEndpoint("first", "documents");
        await harness.addEndpoint("second", "documents");
        node = await harness.addNode();
        await harness.waitForEndpoints(node, 2);
        other = await harness.addNode(refused.getAddress());
    });

    after(async () => {
        await harness.close();
        await refused.close();
    });

    const getVersion = (started: StartedNode) => started.node.getRouting()?.configuration.version;

    it("reach a node that the store rejects, through its peers", async () => {
        await harness.waitForEndpoints(other, 2);
        assert.equal(getVersion(other), 1);
        harness.store.put("op/config", createConfiguration(4, { tenants: [{ name: "first", api_keys: ["new"] }] }));
        await waitUntil("the version is in force there", () => getVersion(other) === 4);
        assert.equal((await harness.send(other, "/safe/x")).status, 401);
    });

    it("never go back to an older version", async () => {
        harness.store.put("op/config", createConfiguration(3));
        harness.store.put("op/config", createConfiguration(5));
        await waitUntil("the newest is in force", () => getVersion(other) === 5 && getVersion(node) === 5);
        harness.store.put("op/config", createConfiguration(2));
        await new Promise(resolve => setTimeout(resolve, 300));
        assert.equal(getVersion(node), 5);
    });

    it("remove an endpoint that drains or is deleted, at both nodes", async () => {
        harness.register("first", "documents", undefined, "draining");
        harness.store.remove("servers/second");
        const getUsable = (started: StartedNode) =>
            (started.node.getStatus() as { endpoints: { isDraining: boolean; }[]; }).endpoints
                .filter(endpoint => !endpoint.isDraining).length;
        await waitUntil("none is left", () => getUsable(node) === 0 && getUsable(other) === 0);
        const answer = await harness.send(other, "/safe/x");
        assert.equal(answer.status, 503);
        harness.register("first", "documents");
        await waitUntil("one is back", () => getUsable(other) === 1);
    });

    it("are all applied after the store has lost its history", async () => {
        harness.store.put("op/config", createConfiguration(8));
        harness.store.compact();
        harness.store.put("op/config", createConfiguration(9));
        await waitUntil("the newest is in force", () => getVersion(node) === 9);
    });

    it("are missing at a node without a configuration, which responds with 503", async () => {
        const isolated = await RouterTestHarness.create();
        isolated.store.faults = { refusalStatus: 503 };
        const started = await isolated.addNode();
        const answer = await isolated.send(started, "/safe/x");
        assert.equal(answer.status, 503);
        assert.ok(Number(answer.headers["retry-after"]) > 0);
        assert.equal(started.node.isReady(), false);
        await isolated.close();
    });

    it("place the layers on empty endpoints once, with a fencing number", async () => {
        const placing = await RouterTestHarness.create();
        for (const id of ["e1", "e2", "e3", "e4"]) {
            await placing.addEndpoint(id, "model");
        }
        const started = await placing.addNode();
        await waitUntil(
            "a chain serves",
            () => [...placing.endpoints.values()].every(({ layers }) => layers !== undefined),
        );
        const orders = [...placing.endpoints.values()].flatMap(endpoint => endpoint.orders);
        assert.equal(orders.length, 4);
        assert.ok(orders.every(({ fence, expected }) => fence === 1 && expected === 0));
        await waitUntil("the records are known", () => placing.nodes[0]!.node.isReady());
        const answer = await placing.send(started, "/model/x");
        assert.equal(answer.status, 200);
        await placing.close();
    });

    it("leave the placement lease unclaimed while there are no orders to give", async () => {
        const idle = await RouterTestHarness.create();
        const { node: alone } = await idle.addNode();
        await waitUntil("it is ready", () => alone.isReady());
        await new Promise(resolve => setTimeout(resolve, 1_000));
        const { hasPlacementDuty, load } = alone.getStatus() as { hasPlacementDuty: boolean; load: object; };
        assert.equal(hasPlacementDuty, false);
        // Guards against a status whose parts are not those of the running node.
        const { overload, ...rest } = JSON.parse(JSON.stringify(load)) as { overload: object; };
        const placement = { planner: "node-0", isLeaseHolder: false };
        assert.deepEqual(rest, { ranks: [], reserves: [], refusals: [], links: [], lostEndpoints: [], placement });
        assert.deepEqual(Object.keys(overload), ["step", "lagMilliseconds", "isOutOfRotation"]);
        await idle.close();
    });

    it("hand the placement lease over within two seconds of a stop", async () => {
        const pair = await RouterTestHarness.create();
        // The lease is held while there are orders to give. These endpoints respond to none, so the orders stay pending.
        for (const port of [1, 2]) {
            const address = `127.0.0.1:${port}`;
            pair.store.put(`servers/e${port}`, createEndpointRecord({ service: "model", address, layers: null }));
        }
        const hasLease = ({ node: other }: StartedNode) =>
            (other.getStatus() as { hasPlacementDuty: boolean; }).hasPlacementDuty;
        const first = await pair.addNode();
        await waitUntil("the first holds the lease", () => hasLease(first));
        const second = await pair.addNode();
        await waitUntil(
            "they know each other",
            () => (second.node.getStatus() as { peers: object[]; }).peers.length === 1,
        );
        // Lets the successor read the lease before the stop; otherwise it would wait for the full time to live from its first read.
        await new Promise(resolve => setTimeout(resolve, 2_000));
        const stoppedAt = Date.now();
        await first.node.startDraining();
        await waitUntil("the second holds the lease", () => hasLease(second));
        assert.ok(Date.now() - stoppedAt < 2_000, `It took ${Date.now() - stoppedAt} ms.`);
        await pair.close();
    });

    it("place the layers even if the store loses the responses to writes", async () => {
        const placing = await RouterTestHarness.create();
        await placing.addEndpoint("e1", "model");
        await placing.addEndpoint("e2", "model");
        placing.store.faults = { losesAnswers: true };
        await placing.addNode();
        await waitUntil(
            "both hold layers",
            () => [...placing.endpoints.values()].every(({ layers }) => layers !== undefined),
        );
        await placing.close();
    });
});
