import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { listCandidates } from "../../../../src/request/relay/chains/listCandidates.ts";
import { RelayBench } from "../relayBench.ts";
import { createEndpoint, relayModel } from "../relayModel.ts";

describe("listCandidates", () => {
    // Guards against a node that refuses requests for those of peers which are gone.
    it("doesn't count the requests of peers that have stopped reporting although no other peer reports", async () => {
        const endpoint = createEndpoint("1", { layers: { start: 0, end: 80 } });
        const { environment, clock } = RelayBench.create([endpoint]);
        const getFreeSlots = () => listCandidates(environment, relayModel, endpoint.service)[0]!.freeSlots;
        environment.loads.setPeerLoads("p", [{ endpointId: "1", requests: endpoint.slots, tokenLayers: 0 }], 50, 0);
        await clock.advance(2_900);
        assert.equal(getFreeSlots(), 0);
        await clock.advance(1_100);
        assert.ok(getFreeSlots() > 0);
    });
});
