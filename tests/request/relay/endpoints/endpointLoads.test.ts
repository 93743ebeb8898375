import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EndpointLoads } from "../../../../src/request/relay/endpoints/endpointLoads.ts";
import { createEndpoint } from "../relayModel.ts";

const stages = [
    { endpoint: createEndpoint("1"), start: 0, end: 10 },
    { endpoint: createEndpoint("2"), start: 10, end: 40 },
];

describe("EndpointLoads", () => {
    it("reserves the load of a request at each stage until it is released, and releases it only once", () => {
        const loads = EndpointLoads.create();
        const reservation = loads.reserveStages(stages, 100, 0);
        assert.deepEqual(loads.getLoad("2"), { endpointId: "2", requests: 1, tokenLayers: 3_000 });
        reservation.release();
        reservation.release();
        assert.deepEqual(loads.getLoad("2"), { endpointId: "2", requests: 0, tokenLayers: 0 });
        assert.deepEqual(loads.getOwnLoads(), []);
    });

    it("adds the latest reports of peers, which expire when a peer stops reporting", () => {
        const loads = EndpointLoads.create();
        loads.setPeerLoads("p", [{ endpointId: "1", requests: 4, tokenLayers: 40 }], 0, 0);
        loads.setPeerLoads("p", [{ endpointId: "1", requests: 3, tokenLayers: 30 }], 0, 100);
        loads.reserveStages(stages, 1, 100);
        assert.deepEqual(loads.getLoad("1"), { endpointId: "1", requests: 4, tokenLayers: 40 });
        loads.setPeerLoads("q", [], 0, 10_000);
        assert.deepEqual(loads.getLoad("1"), { endpointId: "1", requests: 1, tokenLayers: 10 });
    });

    it("reserves the memory of an ended request for this node until peers know that it ended", () => {
        const loads = EndpointLoads.create();
        const reservation = loads.reserveStages(stages, 100, 0);
        loads.setPeerLoads("p", [{ endpointId: "1", requests: 9, tokenLayers: 9_500 }], 100, 0);
        assert.ok(loads.getAvailableMemory("1", 10_000, 100, 10) <= 0);
        reservation.release();
        assert.equal(loads.getAvailableMemory("1", 10_000, 100, 20), 1_000);
        assert.ok(loads.getAvailableMemory("1", 10_000, 100, 5_000) < 1_000);
    });

    it("has no available memory at an endpoint that has just refused a request for lack of it", () => {
        const loads = EndpointLoads.create();
        loads.markFull("1", 0);
        assert.equal(loads.getAvailableMemory("1", 10_000, 100, 100), 0);
        assert.ok(loads.getAvailableMemory("1", 10_000, 100, 1_000) > 0);
    });

    it("calls back when memory may have become available", () => {
        let released = 0;
        const loads = EndpointLoads.create(() => released += 1);
        loads.reserveStages(stages, 100, 0).release();
        loads.setPeerLoads("p", [], 0, 0);
        assert.equal(released, 2);
    });

    it("gets the share of the demand, and counts nodes without a report with the average demand", () => {
        const loads = EndpointLoads.create();
        assert.equal(loads.getDemandShare(0, 4), 1 / 4);
        assert.equal(loads.getDemandShare(100, 4), 1 / 4);
        loads.setPeerLoads("one", [], 50, 0);
        assert.equal(loads.getDemandShare(100, 3), 100 / (100 + 2 * 50));
        // A node without requests keeps a minimum share for requests that may come next.
        assert.equal(loads.getDemandShare(0, 4), 1 / 16);
    });
});
