import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EndpointLoads } from "../../../src/request/relay/endpointLoads.ts";
import { createEndpoint } from "./relayModel.ts";

const stages = [
    { endpoint: createEndpoint("1"), start: 0, end: 10 },
    { endpoint: createEndpoint("2"), start: 10, end: 40 },
];

describe("EndpointLoads", () => {
    it("counts a request at each stage until it is released, once", () => {
        const loads = EndpointLoads.create();
        const reservation = loads.reserveStages(stages, 100, 0);
        assert.deepEqual(loads.getLoad("2"), { endpointId: "2", requests: 1, tokenLayers: 3_000 });
        reservation.release();
        reservation.release();
        assert.deepEqual(loads.getLoad("2"), { endpointId: "2", requests: 0, tokenLayers: 0 });
        assert.deepEqual(loads.getOwnLoads(), []);
    });

    it("adds what peers said last, and forgets peers that fell silent", () => {
        const loads = EndpointLoads.create();
        loads.setPeerLoads("p", [{ endpointId: "1", requests: 4, tokenLayers: 40 }], 0, 0);
        loads.setPeerLoads("p", [{ endpointId: "1", requests: 3, tokenLayers: 30 }], 0, 100);
        loads.reserveStages(stages, 1, 100);
        assert.deepEqual(loads.getLoad("1"), { endpointId: "1", requests: 4, tokenLayers: 40 });
        loads.setPeerLoads("q", [], 0, 10_000);
        assert.deepEqual(loads.getLoad("1"), { endpointId: "1", requests: 1, tokenLayers: 10 });
    });

    it("keeps the place of a request that ended for this node, for as long as peers take to hear of it", () => {
        const loads = EndpointLoads.create();
        const reservation = loads.reserveStages(stages, 100, 0);
        loads.setPeerLoads("p", [{ endpointId: "1", requests: 9, tokenLayers: 9_500 }], 100, 0);
        assert.ok(loads.getRoom("1", 10_000, 100, 10) <= 0);
        reservation.release();
        assert.equal(loads.getRoom("1", 10_000, 100, 20), 1_000);
        assert.ok(loads.getRoom("1", 10_000, 100, 5_000) < 1_000);
    });

    it("has no room at an endpoint that has just refused a request for want of it", () => {
        const loads = EndpointLoads.create();
        loads.noteFull("1", 0);
        assert.equal(loads.getRoom("1", 10_000, 100, 100), 0);
        assert.ok(loads.getRoom("1", 10_000, 100, 1_000) > 0);
    });

    it("tells when room has come free", () => {
        let released = 0;
        const loads = EndpointLoads.create(() => released += 1);
        loads.reserveStages(stages, 100, 0).release();
        loads.setPeerLoads("p", [], 0, 0);
        assert.equal(released, 2);
    });

    it("gives a node its part of the demand, and takes nodes that it has not heard of for average ones", () => {
        const loads = EndpointLoads.create();
        assert.equal(loads.getDemandPart(0, 4), 1 / 4);
        assert.equal(loads.getDemandPart(100, 4), 1 / 4);
        loads.setPeerLoads("one", [], 50, 0);
        assert.equal(loads.getDemandPart(100, 3), 100 / (100 + 2 * 50));
        // A node without requests keeps a small part for what may come next.
        assert.equal(loads.getDemandPart(0, 4), 1 / 16);
    });
});
