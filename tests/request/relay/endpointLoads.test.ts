import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EndpointLoads } from "../../../src/request/relay/endpointLoads.ts";
import { createEndpoint } from "./relayModel.ts";

const stages = [{ endpoint: createEndpoint("1"), start: 0, end: 30 }, {
    endpoint: createEndpoint("2"),
    start: 30,
    end: 80,
}];

describe("EndpointLoads", () => {
    it("counts a request at each stage until it is released, once", () => {
        const loads = EndpointLoads.create();
        const reservation = loads.reserveStages(stages, 100);
        assert.deepEqual(loads.getLoad("2"), { endpointId: "2", requests: 1, tokenLayers: 5_000 });
        reservation.release();
        reservation.release();
        assert.equal(loads.getLoad("2").requests, 0);
        assert.deepEqual(loads.getOwnLoads(), []);
    });

    it("adds what peers told last, for as long as it counts", () => {
        const loads = EndpointLoads.create();
        loads.setPeerLoads("p", [{ endpointId: "1", requests: 4, tokenLayers: 40 }], 0);
        loads.setPeerLoads("p", [{ endpointId: "1", requests: 3, tokenLayers: 30 }], 100);
        loads.reserveStages(stages, 1);
        assert.equal(loads.getLoad("1").requests, 4);
        loads.setPeerLoads("q", [], 10_000);
        assert.equal(loads.getLoad("1").requests, 1);
    });
});
