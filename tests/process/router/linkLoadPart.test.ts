import { create } from "@bufbuild/protobuf";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Metrics } from "../../../src/process/metrics/metrics.ts";
import { LinkLoadPart } from "../../../src/process/router/linkLoadPart.ts";
import { LinkAdmission } from "../../../src/request/relay/links/linkAdmission.ts";
import { LinkDelays } from "../../../src/request/relay/links/linkDelays.ts";
import { NodeRecordSchema, NodeStateSchema } from "../../../src/wire/generated/foxlead/router/v1/router_pb.ts";
import { relayModel } from "../../request/relay/relayModel.ts";
import { RecordingEventLog } from "../../support/recordingEventLog.ts";
import { crossingQuery } from "./crossingQuery.ts";

const link = { from: "a", to: "b" };

function createNode() {
    const closed: boolean[] = [];
    const links = LinkAdmission.create({
        random: () => 0.5,
        log: RecordingEventLog.create(),
        delays: LinkDelays.create(),
        getDemand: () => 0,
        getNodeCount: () => 2,
        onClosed: (_link, isClosed) => closed.push(isClosed),
    });
    return { closed, links, part: LinkLoadPart.create(links, Metrics.create()) };
}

describe("LinkLoadPart", () => {
    it("closes a link at which a peer's stream waits, until the peer no longer reports it", () => {
        const sender = createNode();
        const receiver = createNode();
        sender.links.begin([link], relayModel, 800, 200, 0);
        const { linkLoads } = sender.part.createRecords(1_500);
        assert.equal(linkLoads.length, 1);
        assert.equal(linkLoads[0]!.longestWait, 1_500);
        assert.ok(linkLoads[0]!.bitsPerSecond > 0);
        const record = create(NodeRecordSchema, { nodeId: "sender" });
        receiver.part.applyRecords(create(NodeStateSchema, { sender: record, linkLoads }), 1_500);
        assert.ok(receiver.links.getWait(crossingQuery, 1_500) > 0);
        assert.deepEqual(receiver.closed, [true]);
        receiver.part.applyRecords(create(NodeStateSchema, { sender: record }), 2_000);
        assert.equal(receiver.links.getWait(crossingQuery, 2_000), 0);
    });
});
