import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RankDemandPart } from "../../../src/process/router/rankDemandPart.ts";
import { RankDemands } from "../../../src/request/admission/ranks/rankDemands.ts";
import { NodeStateSchema } from "../../../src/wire/generated/foxlead/router/v1/router_pb.ts";

describe("RankDemandPart", () => {
    // Guards against ranks that the message can't hold: without the check, no message of the node can be encoded.
    it("passes the demand by rank to a peer, without ranks that are negative, too large or no integers", () => {
        const own = RankDemands.create();
        for (const rank of [-1, 0.5, 2, 2 ** 32, 5_000_000_000]) {
            own.observeArrival({ service: "m", rank, tokens: 2_000 }, 0);
        }
        const records = RankDemandPart.create(own).createRecords(0);
        const message = create(NodeStateSchema, { sender: { nodeId: "a" }, ...records });
        const peer = RankDemands.create();
        RankDemandPart.create(peer).applyRecords(fromBinary(NodeStateSchema, toBinary(NodeStateSchema, message)), 0);
        assert.deepEqual(peer.getTotal("m", 2, 2, 0), { rank: 2, demand: 1_000, admitted: 0 });
        assert.equal(peer.getTotal("m", 0.5, 2, 0).demand, 0);
    });
});
